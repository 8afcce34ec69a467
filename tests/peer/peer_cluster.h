#ifndef PEER_PEER_CLUSTER_H_
#define PEER_PEER_CLUSTER_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peer/peer.h"

namespace bamboomount {

// A change log in memory that hands on whatever is the next change.
class InMemoryChangeExchange : public ChangeExchange {
 public:
  ChangeSequence sequence() const override {
    return ChangeSequence(changes_.size());
  }
  std::optional<SteadyTime> confirmed_at() const override {
    return confirmed_at_;
  }
  std::vector<EncodedChange> ChangesAfter(ChangeSequence after,
                                          std::size_t /*max_bytes*/) override {
    std::vector<EncodedChange> next;
    for (auto i = after.value(); i < changes_.size() && next.size() < 2; ++i)
      next.push_back({ChangeSequence(i + 1), changes_[i]});
    return next;
  }
  void OnChanges(const std::vector<EncodedChange>& changes) override {
    for (const EncodedChange& change : changes) {
      if (change.sequence.value() == changes_.size() + 1)
        changes_.push_back(change.text);
    }
  }
  void OnPeerConfirmation(ChangeSequence /*sequence*/,
                          SteadyTime confirmed_at) override {
    peer_confirmed_at_ = std::max(peer_confirmed_at_, confirmed_at);
  }

  EncodedChange Commit(const std::string& text) {
    changes_.push_back(text);
    return {sequence(), text};
  }
  void set_confirmed_at(SteadyTime at) { confirmed_at_ = at; }
  SteadyTime peer_confirmed_at() const { return peer_confirmed_at_; }

 private:
  std::vector<std::string> changes_;
  std::optional<SteadyTime> confirmed_at_;
  SteadyTime peer_confirmed_at_{};
};

// One router: everything of the peer library over an InMemoryNetwork.
struct PeerRouter {
  std::unique_ptr<PeerTransport> transport;
  ControlStateHolder holder;
  InMemoryChangeExchange exchange;
  std::unique_ptr<PeerNode> node;
  std::unique_ptr<DistributedSlotBroker> broker;
  bool alive = true;
  // When it sends its heartbeats inside an interval.
  Millis phase{0};
};

// Routers on a network with virtual time, which advances in steps.
class PeerCluster {
 public:
  static constexpr Millis kStep{25};
  static constexpr Millis kInterval{1000};

  PeerCluster(int size,
              std::uint64_t seed,
              bool listed = true,
              ServiceConfig config = {})
      : network(seed), config_(std::move(config)), random_(seed) {
    // A time point of 0 would hide faults with unset times.
    network.DeliverUntil(SteadyTime(std::chrono::hours(1)));
    for (int i = 0; i < size; ++i)
      Add(IdOf(i), Incarnation(1));
    if (listed)
      ApplyListing();
  }

  // Ids sort in order of their numbers.
  static InstanceId IdOf(int number) {
    const std::string digits = std::to_string(number);
    return InstanceId("router-" + std::string(3 - digits.size(), '0') + digits);
  }

  PeerRouter& Add(const InstanceId& id, Incarnation incarnation) {
    auto router = std::make_unique<PeerRouter>();
    router->transport = network.Attach(id);
    router->phase = kStep * static_cast<int>(random_() % (kInterval / kStep));
    PeerNodeOptions options;
    options.self = id;
    options.peer_address = id.value();
    options.incarnation = incarnation;
    options.random_seed = random_();
    if (id != IdOf(0))
      options.seed_peers = {IdOf(0).value()};
    router->node = std::make_unique<PeerNode>(options, *router->transport,
                                              router->holder, router->exchange,
                                              [this] { return network.now(); });
    PeerRouter& added = *router;
    router->broker = std::make_unique<DistributedSlotBroker>(
        id, incarnation, *router->transport, config_,
        [this] { return network.now(); });
    router->node->AddRosterListener(
        [&added](const std::vector<RosterMember>& members) {
          added.broker->UpdateRoster(members);
        });
    router->node->SetSlotHandler(
        [&added](const InstanceId& sender, const PeerMessage& message) {
          added.broker->HandleMessage(sender, message);
        });
    routers[id] = std::move(router);
    added.node->Start();
    return added;
  }

  // Gives all live routers the list of all routers ever added.
  void ApplyListing() {
    std::vector<ListedInstance> listing;
    for (const auto& [id, router] : routers)
      listing.push_back({id, {}, {}, id.value(), {}, ListedState::kLive});
    for (const auto& [id, router] : routers)
      router->node->ApplyListing(listing);
  }

  void Kill(const InstanceId& id) {
    network.Kill(id);
    routers.at(id)->alive = false;
  }

  void Run(Millis duration) {
    const SteadyTime end = network.now() + duration;
    while (network.now() < end)
      Step();
  }

  // Runs until `done()` holds; returns the time taken, or nothing after
  // `limit`.
  template <typename Predicate>
  std::optional<Millis> RunUntil(Predicate done, Millis limit) {
    const SteadyTime start = network.now();
    while (network.now() < start + limit) {
      if (done())
        return std::chrono::duration_cast<Millis>(network.now() - start);
      Step();
    }
    return {};
  }

  void Step() {
    const auto since_epoch =
        std::chrono::duration_cast<Millis>(network.now().time_since_epoch());
    for (auto& [id, router] : routers) {
      if (router->alive && since_epoch % kInterval == router->phase)
        router->node->Tick();
      if (router->alive && !config_.pools.empty())
        router->broker->Tick();
    }
    network.DeliverUntil(network.now() + kStep);
  }

  // Whether the rosters of all live routers hold exactly these routers.
  bool RostersAgree() const {
    std::vector<InstanceId> alive;
    for (const auto& [id, router] : routers) {
      if (router->alive)
        alive.push_back(id);
    }
    return std::all_of(alive.begin(), alive.end(), [&](const InstanceId& id) {
      std::vector<InstanceId> members;
      for (const RosterMember& member : routers.at(id)->node->Members())
        members.push_back(member.instance);
      return members == alive;
    });
  }

  PeerRouter& at(int number) { return *routers.at(IdOf(number)); }

  InMemoryNetwork network;
  std::map<InstanceId, std::unique_ptr<PeerRouter>> routers;

 private:
  const ServiceConfig config_;
  std::mt19937_64 random_;
};

// A configuration with one pool "futter".
inline ServiceConfig MakeConfig(int backends, int slots, int cell_size) {
  ServiceConfig config;
  PoolRule pool;
  pool.pool = PoolId("futter");
  pool.cell_size = cell_size;
  config.pools = {pool};
  for (int i = 0; i < backends; ++i) {
    BackendRule backend;
    backend.backend = BackendId("engine-" + std::to_string(i));
    backend.pool = pool.pool;
    backend.slots = slots;
    config.backends.push_back(backend);
  }
  return config;
}

}  // namespace bamboomount

#endif  // PEER_PEER_CLUSTER_H_
