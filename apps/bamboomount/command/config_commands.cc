#include "command/config_commands.h"

#include <fmt/chrono.h>

#include "command/command_line.h"
#include "command/fleet_options.h"
#include "command/fleet_session.h"
#include "command/rule_diff.h"
#include "config/config.h"

namespace bamboomount {
namespace {

using FileArg = TCLAP::UnlabeledValueArg<std::string>;
using NumberArg = TCLAP::ValueArg<std::uint64_t>;

FileArg ConfigFileArg() {
  return {"file", "The service configuration", true, "", "service.jsonc"};
}

std::optional<ConfigVersion> OptionalVersion(const NumberArg& arg) {
  if (!arg.isSet())
    return std::nullopt;
  return ConfigVersion(arg.getValue());
}

std::string FormatUtc(std::int64_t unix_seconds) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(unix_seconds)));
}

ReportCell NumberCell(std::uint64_t number) {
  return static_cast<std::int64_t>(number);
}

Report ConfigErrorReport(const std::string& file,
                         const std::vector<ConfigError>& errors) {
  Report report;
  report.fields = {{"file", file},
                   {"faults", static_cast<std::int64_t>(errors.size())}};
  if (errors.empty())
    return report;
  ReportTable table{"errors", {"line", "column", "message"}, {}};
  for (const ConfigError& error : errors)
    table.rows.push_back(
        {{static_cast<std::int64_t>(error.line),
          static_cast<std::int64_t>(error.column), error.message}});
  report.tables.push_back(std::move(table));
  return report;
}

class ConfigCheck : public Command {
 public:
  std::string name() const override { return "config check"; }
  std::string summary() const override {
    return "Check a configuration and report every error; needs no server";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FileArg file = ConfigFileArg();
    line.Add(file);
    line.Parse(args);
    BOOST_OUTCOME_TRY(text, ReadFile(file.getValue()));
    const auto errors = ReadServiceConfig(text).errors;
    console.Write(ConfigErrorReport(file.getValue(), errors));
    return errors.empty() ? ExitCode::kSuccess : ExitCode::kInvalidConfig;
  }
};

class ConfigApply : public Command {
 public:
  std::string name() const override { return "config apply"; }
  std::string summary() const override {
    return "Put a configuration in force and wait until every instance has it";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    NumberArg base("b", "base", "The version that the file was edited from",
                   true, 0, "version");
    FileArg file = ConfigFileArg();
    line.Add(base);
    line.Add(file);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    BOOST_OUTCOME_TRY(text, ReadFile(file.getValue()));
    const auto errors = ReadServiceConfig(text).errors;
    if (!errors.empty()) {
      console.Write(ConfigErrorReport(file.getValue(), errors));
      return ExitCode::kInvalidConfig;
    }
    const FleetSession session(access);
    BOOST_OUTCOME_TRY(client, session.FirstReachableClient());
    // Queried before the change, so that a failure here means that nothing was
    // changed.
    BOOST_OUTCOME_TRY(status, client.Status());
    BOOST_OUTCOME_TRY(
        reply, client.ApplyConfig(
                   {access.author, ConfigVersion(base.getValue()), text}));
    const auto lines =
        session.WaitUntilInForce(status.instances, reply.sequence);
    console.Write({{{"version", NumberCell(reply.config_version.value())},
                    {"sequence", NumberCell(reply.sequence.value())}},
                   {InForceTable(lines)},
                   {}});
    return InForceExitCode(lines);
  }
};

class ConfigShow : public Command {
 public:
  std::string name() const override { return "config show"; }
  std::string summary() const override {
    return "Show the configuration in force or an earlier version";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    NumberArg version("", "config-version", "Show this version", false, 0,
                      "version");
    TCLAP::SwitchArg text_only("", "text-only",
                               "Write only the text, to be saved and edited");
    line.Add(version);
    line.Add(text_only);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    BOOST_OUTCOME_TRY(client, FleetSession(access).FirstReachableClient());
    BOOST_OUTCOME_TRY(config, client.Config(OptionalVersion(version)));
    Report report;
    if (!text_only.getValue())
      report.fields = {{"version", NumberCell(config.version.value())},
                       {"author", config.author},
                       {"applied", FormatUtc(config.unix_seconds)}};
    report.text = config.text;
    console.Write(report);
    return ExitCode::kSuccess;
  }
};

class ConfigDiff : public Command {
 public:
  std::string name() const override { return "config diff"; }
  std::string summary() const override {
    return "Show the rules that differ between a file or version and the "
           "configuration in force";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    NumberArg from("", "from", "Compare from this version (default: in force)",
                   false, 0, "version");
    NumberArg to("", "to", "Compare to this version instead of a file", false,
                 0, "version");
    // Not an optional unlabeled argument: TCLAP would then reject required
    // unlabeled arguments of every later command in this process.
    TCLAP::ValueArg<std::string> file("f", "file", "Compare to this file",
                                      false, "", "service.jsonc");
    line.Add(from);
    line.Add(to);
    line.Add(file);
    line.Parse(args);
    if (file.isSet() == to.isSet())
      throw TCLAP::CmdLineParseException(
          "exactly one of --file and --to is required");
    BOOST_OUTCOME_TRY(access, options.Access(console));
    BOOST_OUTCOME_TRY(client, FleetSession(access).FirstReachableClient());
    BOOST_OUTCOME_TRY(before, client.Config(OptionalVersion(from)));
    BOOST_OUTCOME_TRY(after, file.isSet()
                                 ? ReadFile(file.getValue())
                                 : ConfigText(client, OptionalVersion(to)));
    console.Write({{}, {}, DiffRules(before.text, after)});
    return ExitCode::kSuccess;
  }

 private:
  static Result<std::string> ConfigText(const AdminClient& client,
                                        std::optional<ConfigVersion> version) {
    BOOST_OUTCOME_TRY(config, client.Config(version));
    return config.text;
  }
};

class ConfigHistory : public Command {
 public:
  std::string name() const override { return "config history"; }
  std::string summary() const override {
    return "List the last 100 versions, who applied them and when";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    BOOST_OUTCOME_TRY(client, FleetSession(access).FirstReachableClient());
    BOOST_OUTCOME_TRY(versions, client.ConfigHistory());
    ReportTable table{
        "versions", {"version", "base", "sequence", "applied", "author"}, {}};
    for (const ConfigVersionEntry& version : versions)
      table.rows.push_back({{NumberCell(version.version.value()),
                             NumberCell(version.base.value()),
                             NumberCell(version.sequence.value()),
                             FormatUtc(version.unix_seconds), version.author}});
    console.Write({{}, {table}, {}});
    return ExitCode::kSuccess;
  }
};

}  // namespace

void AddConfigCommands(CommandList& commands) {
  commands.push_back(std::make_unique<ConfigCheck>());
  commands.push_back(std::make_unique<ConfigApply>());
  commands.push_back(std::make_unique<ConfigShow>());
  commands.push_back(std::make_unique<ConfigDiff>());
  commands.push_back(std::make_unique<ConfigHistory>());
}

}  // namespace bamboomount
