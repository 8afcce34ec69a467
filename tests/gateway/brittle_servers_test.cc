#include "gateway/placement/brittle_servers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

const PoolId kPool("pool");
constexpr int kStepMs = 5;

BackendServer Server(int slots, int index = 0) {
  BackendServer server;
  server.id = BackendId("e-" + std::to_string(index));
  server.pool = kPool;
  server.slots = slots;
  return server;
}

MemberRegistry Members(int count) {
  MemberRegistry members;
  for (int i = 0; i < count; ++i) {
    Member member;
    member.instance = InstanceId("i-" + std::to_string(i));
    members.Update(member, RowVersion(1), At(0));
  }
  return members;
}

// What happens in a SimulatedFleet.
struct Scenario {
  std::string name;
  int instances = 1;
  int servers = 1;
  int slots = 1;
  int max_rejections = 0;
  int service_ms = 100;
  // Requests that callers send, as a fraction of what the servers can run, in
  // the first seconds and then.
  double load_before = 0;
  double load = 1;
};

// Instances that send what callers ask for to brittle servers whose queues have
// no room, and learn the loads of each other by rounds of gossip.
class SimulatedFleet {
 public:
  SimulatedFleet(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        random_(seed),
        members_(Members(scenario.instances)),
        servers_(static_cast<std::size_t>(scenario.servers)) {
    for (int i = 0; i < scenario.servers; ++i)
      servers_[static_cast<std::size_t>(i)].row = Server(scenario.slots, i);
    for (int i = 0; i < scenario.instances; ++i) {
      instances_.push_back(std::make_unique<Instance>(members_, i, random_()));
      instances_.back()->brittle.RecordStatement(kPool, scenario.max_rejections,
                                                 At(0));
    }
  }

  void Run() {
    constexpr int kBeforeMs = 2000;
    for (now_ms_ = 0; now_ms_ < kDurationMs; now_ms_ += kStepMs) {
      const double load =
          now_ms_ < kBeforeMs ? scenario_.load_before : scenario_.load;
      DeliverRequests();
      EndRequests();
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if ((now_ms_ / kStepMs + static_cast<int>(i)) % kGossipSteps == 0)
          Gossip(i);
        ReceiveCalls(*instances_[i], load);
        SendWaiting(*instances_[i]);
      }
    }
  }

  // The most rejections of one server in a second.
  int MostRejections() const {
    int most = 0;
    for (const auto& server : servers_) {
      for (std::size_t i = 0, first = 0; i < server.rejected.size(); ++i) {
        while (server.rejected[i] - server.rejected[first] >= 1000)
          ++first;
        most = std::max(most, static_cast<int>(i - first + 1));
      }
    }
    return most;
  }

  // Served requests as a fraction of what the servers could run.
  double Utilization() const {
    const double could_run = static_cast<double>(scenario_.servers) *
                             scenario_.slots * kDurationMs /
                             scenario_.service_ms;
    return served_ / could_run;
  }

 private:
  static constexpr int kDurationMs = 8000;
  static constexpr int kGossipSteps = 30;
  static constexpr int kFanout = 10;
  static constexpr int kMaxWaitMs = 400;

  struct Instance {
    Instance(const MemberRegistry& members, int index, std::uint64_t seed)
        : id("i-" + std::to_string(index)), brittle(loads, members, seed) {}

    InstanceId id;
    BackendLoads loads;
    BrittleServers brittle;
    // When the requests arrived that wait here.
    std::vector<int> waiting;
  };
  struct Request {
    Instance* instance = nullptr;
    int sent_ms = 0;
    int ends_ms = 0;
  };
  struct ServerState {
    BackendServer row;
    std::vector<Request> arriving;
    std::vector<Request> running;
    std::vector<int> rejected;
  };

  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void DeliverRequests() {
    for (ServerState& server : servers_) {
      for (Request& request : std::exchange(server.arriving, {})) {
        const bool full =
            static_cast<int>(server.running.size()) >= server.row.slots;
        if (!full) {
          request.ends_ms = now_ms_ + scenario_.service_ms;
          server.running.push_back(request);
          continue;
        }
        server.rejected.push_back(now_ms_);
        request.instance->brittle.RecordRejected(
            server.row.id, kPool, At(request.sent_ms), At(now_ms_));
        End(server, request, false);
      }
    }
  }

  void EndRequests() {
    for (ServerState& server : servers_) {
      for (const Request& request : std::exchange(server.running, {})) {
        if (request.ends_ms > now_ms_) {
          server.running.push_back(request);
          continue;
        }
        ++served_;
        request.instance->brittle.RecordAccepted(server.row.id,
                                                 At(request.sent_ms));
        End(server, request, true);
      }
    }
  }

  void End(const ServerState& server, const Request& request, bool accepted) {
    request.instance->loads.EndRequest(server.row.id, {}, false);
    request.instance->brittle.RecordEnded(server.row.id, kPool, accepted,
                                          At(request.sent_ms), At(now_ms_));
  }

  void Gossip(std::size_t sender) {
    const double chance =
        kFanout / std::max<double>(kFanout, scenario_.instances - 1);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i != sender && Random() < chance)
        instances_[i]->loads.SetRemoteLoads(
            instances_[sender]->id, instances_[sender]->loads.LocalLoads());
    }
  }

  void ReceiveCalls(Instance& instance, double load) {
    std::poisson_distribution<int> calls(
        load * scenario_.servers * scenario_.slots * kStepMs /
        scenario_.service_ms / scenario_.instances);
    for (int count = calls(random_); count > 0; --count)
      instance.waiting.push_back(now_ms_);
    std::erase_if(instance.waiting,
                  [this](int since) { return now_ms_ - since > kMaxWaitMs; });
  }

  void SendWaiting(Instance& instance) {
    while (!instance.waiting.empty()) {
      ServerState* best = nullptr;
      for (ServerState& server : servers_) {
        if (!instance.brittle.MaySend(server.row, At(now_ms_)))
          continue;
        const auto load = [&](const ServerState& other) {
          return instance.loads.Total(other.row.id).requests;
        };
        if (!best || load(server) < load(*best))
          best = &server;
      }
      if (!best)
        return;
      instance.waiting.erase(instance.waiting.begin());
      instance.loads.AddRequest(best->row.id, {});
      instance.brittle.RecordSent(best->row, At(now_ms_));
      best->arriving.push_back({&instance, now_ms_, 0});
    }
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  const MemberRegistry members_;
  std::vector<ServerState> servers_;
  std::vector<std::unique_ptr<Instance>> instances_;
  int now_ms_ = 0;
  int served_ = 0;
};

// One instance that is alone unless a test says otherwise.
class OneInstance {
 public:
  explicit OneInstance(int instances = 1)
      : members_(Members(instances)), brittle_(loads_, members_, 1) {}

  BrittleServers& brittle() { return brittle_; }
  BackendLoads& loads() { return loads_; }
  const BackendServer& server() const { return server_; }
  bool MaySend(int now_ms) { return brittle_.MaySend(server_, At(now_ms)); }
  void Send(int now_ms) {
    loads_.AddRequest(server_.id, {});
    brittle_.RecordSent(server_, At(now_ms));
  }
  void EndAccepted(int sent_ms, int now_ms) {
    loads_.EndRequest(server_.id, {}, false);
    brittle_.RecordAccepted(server_.id, At(sent_ms));
    brittle_.RecordEnded(server_.id, kPool, true, At(sent_ms), At(now_ms));
  }
  void EndRejected(int sent_ms, int now_ms) {
    loads_.EndRequest(server_.id, {}, false);
    brittle_.RecordRejected(server_.id, kPool, At(sent_ms), At(now_ms));
    brittle_.RecordEnded(server_.id, kPool, false, At(sent_ms), At(now_ms));
  }
  // The first time from `from_ms` on at which it may send.
  int WhenMaySend(int from_ms) {
    int now_ms = from_ms;
    while (!MaySend(now_ms))
      now_ms += kStepMs;
    return now_ms;
  }

 private:
  const MemberRegistry members_;
  BackendLoads loads_;
  BrittleServers brittle_;
  const BackendServer server_ = Server(4);
};

BOOST_AUTO_TEST_SUITE(brittle_servers)

// Guards against limits at servers that have not said that they are brittle, or
// said so long ago.
BOOST_AUTO_TEST_CASE(only_servers_that_say_so_are_brittle) {
  constexpr int kLifetimeMs = BrittleServers::kStatementLifetime.count();
  OneInstance instance;
  for (int i = 0; i < 2 * instance.server().slots; ++i) {
    BOOST_TEST(instance.MaySend(0));
    instance.Send(0);
  }
  BOOST_TEST(instance.brittle().RecordStatement(kPool, 100, At(1)));
  BOOST_TEST(!instance.brittle().RecordStatement(kPool, 100, At(2)));
  BOOST_TEST(!instance.MaySend(3));
  BOOST_TEST(instance.MaySend(2 + kLifetimeMs));
}

// Guards against requests that a brittle server has no slot for, and against
// those of an instance that just saw one rejected there.
BOOST_AUTO_TEST_CASE(a_pause_after_a_rejection_doubles_until_an_answer) {
  OneInstance instance;
  instance.brittle().RecordStatement(kPool, 1, At(0));
  const auto pause = [&](int now_ms) {
    instance.Send(now_ms);
    instance.EndRejected(now_ms, now_ms + 1);
    return instance.WhenMaySend(now_ms + 1) - now_ms - 1;
  };
  constexpr int kWindowMs = BrittleServers::kWindow.count();
  int now_ms = instance.WhenMaySend(1);
  const int first = pause(now_ms);
  BOOST_TEST(first >= kWindowMs);
  now_ms += first + 1;
  const int second = pause(now_ms);
  BOOST_TEST(second >= 2 * kWindowMs);
  now_ms += second + 1;
  instance.Send(now_ms);
  instance.EndAccepted(now_ms, now_ms + 1);
  BOOST_TEST(instance.MaySend(now_ms + 1));
  BOOST_TEST(pause(now_ms + 1) < 3 * kWindowMs);
}

// Guards against a burst at a server that turns out to be full: all of it would
// be rejected before the first rejection arrives.
BOOST_AUTO_TEST_CASE(few_requests_are_without_an_answer) {
  constexpr int kRejectionMs = BrittleServers::kRejectionTime.count();
  OneInstance instance;
  instance.brittle().RecordStatement(kPool, 2, At(0));
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(instance.MaySend(1));
    instance.Send(1);
  }
  BOOST_TEST(!instance.MaySend(1));
  BOOST_TEST(instance.MaySend(1 + kRejectionMs));
}

// Guards against a slot that stays empty although the instance whose request
// has left it has another one.
BOOST_AUTO_TEST_CASE(a_slot_is_used_again_at_once) {
  constexpr int kInstances = 13;
  OneInstance instance(kInstances);
  instance.brittle().RecordStatement(kPool, 2, At(0));
  int now_ms = instance.WhenMaySend(1);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(instance.MaySend(now_ms));
    instance.Send(now_ms);
    BOOST_TEST(!instance.MaySend(now_ms + 10));
    instance.EndAccepted(now_ms, now_ms + 100);
    now_ms += 100;
  }
}

// Guards against a fleet that together makes brittle servers reject more
// requests in a second than these bear, or that leaves most of their slots
// unused in order to avoid it.
BOOST_AUTO_TEST_CASE(a_fleet_rejects_few_and_uses_the_slots) {
  constexpr std::uint64_t kSeeds = 20;
  const std::vector<Scenario> scenarios{
      {"one instance", 1, 2, 6, 3, 100, 0.3, 1.5},
      {"few slots", 13, 4, 6, 8, 120, 0.3, 1.5},
      {"few slots, short requests", 13, 4, 6, 8, 40, 0.3, 1.3},
      {"few slots, a heavy overload", 20, 3, 6, 8, 200, 0.2, 4},
      {"many slots", 20, 18, 64, 8, 2000, 0.3, 1.5},
      {"few rejections allowed", 13, 4, 6, 4, 120, 0.3, 1.5},
  };
  for (const Scenario& scenario : scenarios) {
    BOOST_TEST_CONTEXT(scenario.name) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        BOOST_TEST_INFO("seed " << seed);
        SimulatedFleet fleet(scenario, seed);
        fleet.Run();
        BOOST_TEST(fleet.MostRejections() <= scenario.max_rejections);
        BOOST_TEST(fleet.Utilization() >= 0.5);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
