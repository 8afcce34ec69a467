#include "command/fleet_session.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace bamboomount {
namespace {

// Instances asked at the same time; at 350 nodes a dead one costs its time
// limit for one of them only.
constexpr std::size_t kParallelRequests = 16;
// Pause between two questions to an instance that lags.
constexpr Millis kAskPause{100};

Cell SequenceCell(const std::optional<ChangeSequence>& sequence) {
  if (!sequence)
    return std::monostate();
  return static_cast<std::int64_t>(sequence->value());
}

}  // namespace

Result<AdminClient> FleetSession::Entry() const {
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

void FleetSession::ForEach(const std::vector<InstanceStatus>& instances,
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
  const std::size_t count = std::min(kParallelRequests, instances.size());
  threads.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads)
    thread.join();
}

std::vector<InForce> FleetSession::WaitInForce(
    const std::vector<InstanceStatus>& instances,
    ChangeSequence sequence) const {
  std::vector<InForce> lines(instances.size());
  ForEach(instances, [&](std::size_t index, const InstanceStatus& instance) {
    lines[index] = WaitOne(instance, sequence, access_.wait);
  });
  return lines;
}

std::vector<InForce> FleetSession::WaitWithdrawn(
    const std::vector<InstanceStatus>& instances,
    const KeyId& key,
    std::optional<ChangeSequence> sequence) const {
  std::vector<InForce> lines(instances.size());
  ForEach(instances, [&](std::size_t index, const InstanceStatus& instance) {
    InForce& line = lines[index];
    if (sequence)
      line = WaitOne(instance, *sequence, access_.wait / 2);
    if (!line.in_force)
      line = WithdrawDirectly(instance, key);
  });
  return lines;
}

InForce FleetSession::WaitOne(const InstanceStatus& instance,
                              ChangeSequence sequence,
                              Millis wait) const {
  InForce line{instance.instance, instance.admin_address, false, {}, {}};
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
    std::this_thread::sleep_for(kAskPause);
  }
}

InForce FleetSession::WithdrawDirectly(const InstanceStatus& instance,
                                       const KeyId& key) const {
  InForce line{instance.instance, instance.admin_address, false, {}, {}};
  const auto reply = ClientFor(instance.admin_address)
                         .WithdrawKey({access_.author, key, true});
  line.in_force = reply.has_value();
  line.detail = reply ? "emergency" : reply.error().message;
  return line;
}

ReportTable InForceTable(const std::vector<InForce>& lines) {
  ReportTable table{
      "instances",
      {"instance", "admin_address", "in_force", "sequence", "detail"},
      {}};
  for (const InForce& line : lines)
    table.rows.push_back(
        {{line.instance.value(), line.admin_address, line.in_force,
          SequenceCell(line.sequence), line.detail}});
  return table;
}

ExitCode InForceExit(const std::vector<InForce>& lines) {
  const bool everywhere =
      std::all_of(lines.begin(), lines.end(),
                  [](const InForce& line) { return line.in_force; });
  return everywhere ? ExitCode::kSuccess : ExitCode::kNotInForce;
}

}  // namespace bamboomount
