#include "command/key_commands.h"

#include "command/command_line.h"
#include "command/fleet_options.h"
#include "command/fleet_session.h"

namespace bamboomount {
namespace {

using NameArg = TCLAP::UnlabeledValueArg<std::string>;

// 256 random bits cannot be guessed from the digest, so it needs no salt.
constexpr std::size_t kSecretBytes = 32;

ReportCell SequenceCell(ChangeSequence sequence) {
  return static_cast<std::int64_t>(sequence.value());
}

class KeyGrant : public Command {
 public:
  std::string name() const override { return "key grant"; }
  std::string summary() const override {
    return "Create a key for a customer and show it once";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    TCLAP::ValueArg<std::string> customer(
        "c", "customer", "Customer of the configuration", true, "", "customer");
    NameArg key("key", "Public name of the new key", true, "", "name");
    line.Add(customer);
    line.Add(key);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    const FleetSession session(access);
    BOOST_OUTCOME_TRY(client, session.FirstReachableClient());
    // The secret is only written to the output; instances receive its digest.
    const std::string secret = "bmk_" + RandomHex(kSecretBytes);
    BOOST_OUTCOME_TRY(reply,
                      client.GrantKey({access.author, KeyId(key.getValue()),
                                       KeyDigest(Sha256Hex(secret)),
                                       CustomerId(customer.getValue())}));
    console.Write({{{"key", key.getValue()},
                    {"customer", customer.getValue()},
                    {"secret", secret},
                    {"sequence", SequenceCell(reply.sequence)}},
                   {},
                   {}});
    return ExitCode::kSuccess;
  }
};

class KeyWithdraw : public Command {
 public:
  std::string name() const override { return "key withdraw"; }
  std::string summary() const override {
    return "Withdraw a key and wait until no instance accepts it";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    NameArg key("key", "Public name of the key", true, "", "name");
    line.Add(key);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    const FleetSession session(access);
    BOOST_OUTCOME_TRY(client, session.FirstReachableClient());
    const KeyId id(key.getValue());
    // Queried before the change, so that a failure here means that nothing was
    // changed.
    BOOST_OUTCOME_TRY(status, client.Status());
    BOOST_OUTCOME_TRY(reply, client.WithdrawKey({access.author, id, false}));
    const auto lines =
        session.WaitUntilWithdrawn(status.instances, id, reply.sequence);
    ReportCell sequence;
    if (reply.sequence)
      sequence = SequenceCell(*reply.sequence);
    console.Write({{{"key", id.value()},
                    {"in_log", reply.sequence.has_value()},
                    {"sequence", sequence}},
                   {InForceTable(lines)},
                   {}});
    return InForceExitCode(lines);
  }
};

class KeyList : public Command {
 public:
  std::string name() const override { return "key list"; }
  std::string summary() const override {
    return "List the keys, their customers and whether they are withdrawn";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    BOOST_OUTCOME_TRY(client, FleetSession(access).FirstReachableClient());
    BOOST_OUTCOME_TRY(listing, client.Keys());
    ReportTable table{"keys", {"key", "customer", "withdrawn"}, {}};
    for (const KeyStatus& key : listing.keys)
      table.rows.push_back(
          {{key.key.value(), key.customer.value(), key.withdrawn}});
    console.Write(
        {{{"sequence", SequenceCell(listing.sequence)}}, {table}, {}});
    return ExitCode::kSuccess;
  }
};

}  // namespace

void AddKeyCommands(CommandList& commands) {
  commands.push_back(std::make_unique<KeyGrant>());
  commands.push_back(std::make_unique<KeyWithdraw>());
  commands.push_back(std::make_unique<KeyList>());
}

}  // namespace bamboomount
