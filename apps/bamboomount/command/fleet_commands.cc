#include "command/fleet_commands.h"

#include "command/command_line.h"
#include "command/fleet_options.h"
#include "command/fleet_session.h"
#include "command/span_tree.h"

namespace bamboomount {
namespace {

using NameArg = TCLAP::UnlabeledValueArg<std::string>;

constexpr int kDefaultWindows = 5;

ReportCell NumberCell(std::uint64_t number) {
  return static_cast<std::int64_t>(number);
}

ReportCell MillisCell(const std::optional<Millis>& millis) {
  if (!millis)
    return std::monostate();
  return static_cast<std::int64_t>(millis->count());
}

ReportCell VersionCell(const std::optional<ConfigVersion>& version) {
  if (!version)
    return std::monostate();
  return NumberCell(version->value());
}

const char* Name(InstanceCondition condition) {
  switch (condition) {
    case InstanceCondition::kLive:
      return "live";
    case InstanceCondition::kSuspected:
      return "suspected";
    case InstanceCondition::kLeaving:
      return "leaving";
  }
  return "";
}

const char* Name(BackendCondition condition) {
  switch (condition) {
    case BackendCondition::kUp:
      return "up";
    case BackendCondition::kStraggler:
      return "straggler";
    case BackendCondition::kDown:
      return "down";
    case BackendCondition::kLeaving:
      return "leaving";
  }
  return "";
}

const char* Name(UsageWindowState state) {
  switch (state) {
    case UsageWindowState::kOpen:
      return "open";
    case UsageWindowState::kClosed:
      return "closed";
    case UsageWindowState::kSealed:
      return "sealed";
    case UsageWindowState::kReported:
      return "reported";
  }
  return "";
}

ReportTable BackendTable(const std::vector<BackendStatus>& backends) {
  ReportTable table{"backends",
                    {"backend", "pool", "zone", "kind", "condition", "running",
                     "waiting", "slots"},
                    {}};
  for (const BackendStatus& backend : backends)
    table.rows.push_back(
        {{backend.backend.value(), backend.pool.value(), backend.zone.value(),
          std::string(backend.kind == BackendKind::kFirm ? "firm" : "cheap"),
          std::string(Name(backend.condition)),
          static_cast<std::int64_t>(backend.running),
          static_cast<std::int64_t>(backend.waiting),
          static_cast<std::int64_t>(backend.slots)}});
  return table;
}

class StatusCommand : public Command {
 public:
  std::string name() const override { return "status"; }
  std::string summary() const override {
    return "Show instances, backend servers, the lease holder and the "
           "version in force on each instance";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    const FleetSession session(access);
    BOOST_OUTCOME_TRY(client, session.FirstReachableClient());
    BOOST_OUTCOME_TRY(status, client.Status());
    Report report;
    report.fields = {{"answered_by", status.self.instance.value()},
                     {"store_answers", status.store_answers}};
    ReportCell holder;
    ReportCell token;
    if (status.lease) {
      holder = status.lease->holder.value();
      token = NumberCell(status.lease->token.value());
    }
    report.fields.push_back({"lease_holder", holder});
    report.fields.push_back({"fencing_token", token});
    report.fields.push_back({"emergency_withdrawals",
                             NumberCell(status.emergency_withdrawals.size())});
    report.tables = {InstanceTable(session, status.instances),
                     BackendTable(status.backends)};
    console.Write(report);
    return ExitCode::kSuccess;
  }

 private:
  // Queries each instance for its own status. For one that does not respond,
  // the table shows its status as the queried server lists it.
  static ReportTable InstanceTable(
      const FleetSession& session,
      const std::vector<InstanceStatus>& instances) {
    ReportTable table{
        "instances",
        {"instance", "zone", "address", "admin_address", "condition", "answers",
         "version", "sequence", "freshness", "confirmed_ms_ago"},
        {}};
    table.rows.resize(instances.size());
    session.ForEachInstance(instances, [&](std::size_t index,
                                           const InstanceStatus& listed) {
      const auto position = session.ClientFor(listed.admin_address).Position();
      table.rows[index] = InstanceRow(
          listed, position ? position.value() : listed, position.has_value());
    });
    return table;
  }

  static ReportRow InstanceRow(const InstanceStatus& listed,
                               const InstanceStatus& own,
                               bool answers) {
    return {{listed.instance.value(), listed.zone.value(), listed.address,
             listed.admin_address, std::string(Name(listed.condition)), answers,
             VersionCell(own.config_version), NumberCell(own.sequence.value()),
             std::string(ToString(own.freshness)),
             MillisCell(own.confirmation_age)}};
  }
};

class InstanceDrain : public Command {
 public:
  std::string name() const override { return "instance drain"; }
  std::string summary() const override {
    return "Drain an instance: it finishes its requests and stops";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    NameArg instance("instance", "Name of the instance", true, "", "name");
    line.Add(instance);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    const FleetSession session(access);
    BOOST_OUTCOME_TRY(client, session.FirstReachableClient());
    BOOST_OUTCOME_TRY(status, client.Status());
    const InstanceId id(instance.getValue());
    std::vector<InstanceStatus> drained;
    for (const InstanceStatus& listed : status.instances) {
      if (listed.instance == id)
        drained.push_back(listed);
    }
    // A drain stays in the change log, so a mistyped name must not be logged.
    if (drained.empty())
      return Error{ErrorCode::kNotFound,
                   RunVerdict::kNotRun,
                   "no instance \"" + id.value() + "\" is listed",
                   {}};
    BOOST_OUTCOME_TRY(reply, client.DrainInstance({access.author, id}));
    const auto lines = session.WaitUntilInForce(drained, reply.sequence);
    console.Write({{{"sequence", NumberCell(reply.sequence.value())}},
                   {InForceTable(lines)},
                   {}});
    return InForceExitCode(lines);
  }
};

class UsageCommand : public Command {
 public:
  std::string name() const override { return "usage"; }
  std::string summary() const override {
    return "Show the usage of the last windows by customer";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    TCLAP::ValueArg<int> windows("w", "windows", "Number of windows", false,
                                 kDefaultWindows, "count");
    line.Add(windows);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    BOOST_OUTCOME_TRY(client, FleetSession(access).FirstReachableClient());
    BOOST_OUTCOME_TRY(usage, client.Usage(windows.getValue()));
    ReportTable table{"usage",
                      {"window", "state", "customer", "requests",
                       "prompt_tokens", "output_tokens"},
                      {}};
    for (const UsageLine& usage_line : usage)
      table.rows.push_back(
          {{usage_line.window.value(), std::string(Name(usage_line.state)),
            usage_line.customer.value(), usage_line.requests,
            usage_line.prompt_tokens.value(),
            usage_line.output_tokens.value()}});
    console.Write({{}, {table}, {}});
    return ExitCode::kSuccess;
  }
};

class TraceCommand : public Command {
 public:
  std::string name() const override { return "trace"; }
  std::string summary() const override {
    return "Show the spans of one trace, from all instances, as a tree";
  }
  Result<ExitCode> Run(const std::vector<std::string>& args,
                       Console& console) const override {
    CommandLine line(*this, console);
    FleetOptions options(line);
    NameArg trace("trace", "Trace id (32 hexadecimal digits)", true, "", "id");
    line.Add(trace);
    line.Parse(args);
    BOOST_OUTCOME_TRY(access, options.Access(console));
    const FleetSession session(access);
    BOOST_OUTCOME_TRY(client, session.FirstReachableClient());
    BOOST_OUTCOME_TRY(status, client.Status());
    std::vector<std::vector<Span>> spans_by_instance(status.instances.size());
    session.ForEachInstance(
        status.instances,
        [&](std::size_t index, const InstanceStatus& instance) {
          auto spans =
              session.ClientFor(instance.admin_address).Trace(trace.getValue());
          if (spans)
            spans_by_instance[index] = std::move(spans).value();
        });
    std::vector<Span> spans;
    for (const auto& instance_spans : spans_by_instance)
      spans.insert(spans.end(), instance_spans.begin(), instance_spans.end());
    if (spans.empty())
      return Error{ErrorCode::kNotFound,
                   RunVerdict::kNotRun,
                   "no instance has spans of this trace",
                   {}};
    console.Write({{{"trace", trace.getValue()}}, {SpanTree(spans)}, {}});
    return ExitCode::kSuccess;
  }
};

}  // namespace

void AddFleetCommands(CommandList& commands) {
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<InstanceDrain>());
  commands.push_back(std::make_unique<UsageCommand>());
  commands.push_back(std::make_unique<TraceCommand>());
}

}  // namespace bamboomount
