#include "admin/fake_fleet_operations.h"

#include <utility>

namespace bamboomount {
namespace {

// The HTTP server cannot tell which port the system chose, hence a range.
constexpr int kMinPort = 23100;
constexpr int kMaxPort = 23299;

}  // namespace

FakeFleetOperations::FakeFleetOperations(std::string name_in,
                                         LogFixture& stores,
                                         Millis poll_interval)
    : name(std::move(name_in)),
      propagation{{InstanceId(name)}, 3},
      log(stores.table, stores.objects),
      follower(log,
               holder,
               {.self = InstanceId(name), .poll_interval = poll_interval}),
      changes(
          log,
          holder,
          follower,
          [this](const Change& change) { pushed_changes.push_back(change); },
          [this](const KeyId&, Millis) { return propagation; }) {}

FleetStatus FakeFleetOperations::Status() {
  FleetStatus status;
  status.self = SelfStatus();
  status.instances = other_instances;
  status.instances.push_back(status.self);
  status.backends.push_back({BackendId("fm-1"), ZoneId("a"), PoolId("p"),
                             BackendKind::kCheap, BackendCondition::kStraggler,
                             3, 1, 8});
  status.lease = LeaseStatus{InstanceId("one"), FencingToken(7)};
  status.store_answers = true;
  status.emergency_withdrawals = changes.UnloggedWithdrawals();
  return status;
}

InstanceStatus FakeFleetOperations::SelfStatus() const {
  const auto state = holder.current();
  InstanceStatus self;
  self.instance = InstanceId(name);
  self.zone = ZoneId("a");
  self.address = "127.0.0.1:1";
  self.admin_address = admin_address;
  self.sequence = state->sequence;
  self.config_version = state->config_version;
  self.freshness = follower.freshness();
  return self;
}

std::vector<Span> FakeFleetOperations::Trace(const std::string& trace_id) {
  Span span;
  span.context = {trace_id, name + "-span"};
  span.name = "route";
  span.process = "router/" + name;
  span.duration = std::chrono::microseconds(1500);
  span.attributes = {{"class", "live-chat"}};
  return {span};
}

Result<std::vector<UsageLine>> FakeFleetOperations::Usage(int windows,
                                                          Millis /*timeout*/) {
  return std::vector<UsageLine>{{UsageWindow(windows), CustomerId("c"), 2,
                                 Tokens(30), Tokens(40),
                                 UsageWindowState::kSealed}};
}

std::unique_ptr<AdminServer> ServeOnFreePort(FakeFleetOperations& operations,
                                             const std::string& token) {
  for (int port = kMinPort; port <= kMaxPort; ++port) {
    const std::string address = "127.0.0.1:" + std::to_string(port);
    try {
      auto server = std::make_unique<AdminServer>(address, token, operations);
      operations.admin_address = address;
      return server;
    } catch (const std::exception&) {
      continue;
    }
  }
  throw std::runtime_error("no free port");
}

}  // namespace bamboomount
