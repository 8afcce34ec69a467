#include "command/fleet_session.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace bamboomount {
namespace {

// Number of threads that query instances. An instance that does not respond
// blocks only one of them for its timeout, which matters with 350 nodes.
constexpr std::size_t kMaxParallelRequests = 16;
// Interval between polls of a lagging instance.
constexpr Millis kPollInterval{100};

ReportCell SequenceCell(const std::optional<ChangeSequence>& sequence) {
  if (!sequence)
    return std::monostate();
  return static_cast<std::int64_t>(sequence->value());
}

}  // namespace

Result<AdminClient> FleetSession::FirstReachableClient() const {
  Error last;
  for (const std::string& server : access_.servers) {
    const AdminClient client = ClientFor(server);
    const auto position = client.Position();
    if (position)
      return client;
    last = position.error();
    if (last.code == ErrorCode::kUnknownKey)
      break;
  }
  return last;
}

AdminClient FleetSession::ClientFor(const std::string& address) const {
  return {address, access_.token, access_.request_timeout};
}

void FleetSession::ForEachInstance(const std::vector<InstanceStatus>& instances,
                                   const Visit& visit) const {
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    while (true) {
      const std::size_t index = next++;
      if (index >= instances.size())
        return;
      visit(index, instances[index]);
    }
  };
  std::vector<std::thread> threads;
  const std::size_t count = std::min(kMaxParallelRequests, instances.size());
  threads.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads)
    thread.join();
}

std::vector<InForceStatus> FleetSession::WaitUntilInForce(
    const std::vector<InstanceStatus>& instances,
    ChangeSequence sequence) const {
  std::vector<InForceStatus> lines(instances.size());
  ForEachInstance(
      instances, [&](std::size_t index, const InstanceStatus& instance) {
        lines[index] = WaitForInstance(instance, sequence, access_.wait);
      });
  return lines;
}

std::vector<InForceStatus> FleetSession::WaitUntilWithdrawn(
    const std::vector<InstanceStatus>& instances,
    const KeyId& key,
    std::optional<ChangeSequence> sequence) const {
  std::vector<InForceStatus> lines(instances.size());
  ForEachInstance(
      instances, [&](std::size_t index, const InstanceStatus& instance) {
        InForceStatus& line = lines[index];
        if (sequence)
          line = WaitForInstance(instance, *sequence, access_.wait / 2);
        if (!line.in_force)
          line = WithdrawDirectly(instance, key);
      });
  return lines;
}

InForceStatus FleetSession::WaitForInstance(const InstanceStatus& instance,
                                            ChangeSequence sequence,
                                            Millis wait) const {
  InForceStatus line{instance.instance, instance.admin_address, false, {}, {}};
  const AdminClient client = ClientFor(instance.admin_address);
  const auto end = std::chrono::steady_clock::now() + wait;
  while (true) {
    const auto position = client.Position();
    if (position) {
      line.sequence = position.value().sequence;
      line.in_force = *line.sequence >= sequence;
      line.detail = line.in_force ? "log" : "behind";
    } else {
      line.detail = position.error().message;
    }
    if (line.in_force || std::chrono::steady_clock::now() >= end)
      return line;
    std::this_thread::sleep_for(kPollInterval);
  }
}

InForceStatus FleetSession::WithdrawDirectly(const InstanceStatus& instance,
                                             const KeyId& key) const {
  InForceStatus line{instance.instance, instance.admin_address, false, {}, {}};
  const auto reply = ClientFor(instance.admin_address)
                         .WithdrawKey({access_.author, key, true});
  line.in_force = reply.has_value();
  line.detail = reply ? "emergency" : reply.error().message;
  return line;
}

ReportTable InForceTable(const std::vector<InForceStatus>& lines) {
  ReportTable table{
      "instances",
      {"instance", "admin_address", "in_force", "sequence", "detail"},
      {}};
  for (const InForceStatus& line : lines)
    table.rows.push_back(
        {{line.instance.value(), line.admin_address, line.in_force,
          SequenceCell(line.sequence), line.detail}});
  return table;
}

ExitCode InForceExitCode(const std::vector<InForceStatus>& lines) {
  const bool everywhere =
      std::all_of(lines.begin(), lines.end(),
                  [](const InForceStatus& line) { return line.in_force; });
  return everywhere ? ExitCode::kSuccess : ExitCode::kNotInForce;
}

}  // namespace bamboomount
