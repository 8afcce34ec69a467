#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "gateway/membership/member_registry.h"
#include "gateway/replication/gossip_exchange.h"
#include "instants.h"

namespace bamboomount {
namespace {

constexpr int kInstances = 300;
// The time within which callers must not be sent to a failed instance any more.
constexpr Millis kDetectionBound{5000};

InstanceId IdOf(std::size_t index) {
  return InstanceId("i-" + std::to_string(index));
}

// The member registries of a large fleet, whose messages go to random instances
// as those of GossipExchange do.
class LargeFleet {
 public:
  LargeFleet() : registries_(kInstances), stopped_(kInstances, false) {
    for (MemberRegistry& registry : registries_) {
      for (std::size_t i = 0; i < kInstances; ++i) {
        Member member;
        member.instance = IdOf(i);
        member.incarnation = Incarnation("1");
        member.peer_address = "peer";
        registry.Update(member, RowVersion(1), At(0));
      }
    }
  }

  void Stop(std::size_t instance) { stopped_[instance] = true; }

  void RunFor(Millis duration) {
    const Millis end = time_ + duration;
    for (; time_ < end; time_ += GossipExchange::kRoundInterval) {
      for (std::size_t i = 0; i < kInstances; ++i)
        SendRound(i);
    }
  }

  // Number of live instances that take `instance` for silent.
  int CountWhereSilent(std::size_t instance) const {
    int count = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (!stopped_[i] && registries_[i].IsSilent(IdOf(instance), now()))
        ++count;
    }
    return count;
  }

 private:
  Instant now() const { return At(time_.count()); }

  void SendRound(std::size_t sender) {
    if (stopped_[sender])
      return;
    const auto relayed = registries_[sender].HeartbeatsToRelay(now());
    registries_[sender].RecordHeartbeat(IdOf(sender), {}, now());
    std::uniform_int_distribution<std::size_t> any(0, kInstances - 1);
    for (std::size_t i = 0; i < GossipExchange::kFanout; ++i) {
      MemberRegistry& target = registries_[any(random_)];
      target.RecordHeartbeat(IdOf(sender), {}, now());
      for (const RelayedHeartbeat& heartbeat : relayed)
        target.RecordRelayedHeartbeat(heartbeat, now());
    }
  }

  std::vector<MemberRegistry> registries_;
  std::vector<bool> stopped_;
  Millis time_{0};
  std::minstd_rand random_{7};
};

BOOST_AUTO_TEST_SUITE(large_fleet_heartbeat)

// Guards against callers that are sent to a failed instance for long because
// heartbeats from each instance become rare in a large fleet: 295 instances
// named one that had been off for 8 s.
BOOST_AUTO_TEST_CASE(a_failed_instance_is_noticed_in_time) {
  LargeFleet fleet;
  fleet.RunFor(Millis(3000));
  fleet.Stop(5);
  fleet.RunFor(kDetectionBound);
  BOOST_TEST(fleet.CountWhereSilent(5) == kInstances - 1);
}

// Guards against live instances that are left out because the timeout is
// shorter than the time between their heartbeats.
BOOST_AUTO_TEST_CASE(live_instances_are_heard) {
  LargeFleet fleet;
  int silent = 0;
  int checked = 0;
  for (int i = 0; i < 10; ++i) {
    fleet.RunFor(Millis(1500));
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      silent += fleet.CountWhereSilent(instance);
      checked += kInstances;
    }
  }
  // One in a thousand.
  BOOST_TEST(silent * 1000 <= checked);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
