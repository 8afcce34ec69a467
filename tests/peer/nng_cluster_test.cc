#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "peer/peer_cluster.h"

namespace bamboomount {
namespace {

// A list of instances that a test sets.
class FixedDirectory : public InstanceDirectory {
 public:
  Result<DirectoryListing> List(Millis /*timeout*/) override {
    const std::lock_guard lock(mutex_);
    return listing_;
  }
  Result<void> Register(const ListedInstance& instance,
                        Millis /*timeout*/) override {
    const std::lock_guard lock(mutex_);
    listing_.instances.push_back(instance);
    return Success();
  }

 private:
  std::mutex mutex_;
  DirectoryListing listing_;
};

SteadyTime Now() {
  return std::chrono::steady_clock::now();
}

// A router on real sockets with its own threads.
class ThreadedRouter {
 public:
  ThreadedRouter(int number,
                 FixedDirectory& directory,
                 const ServiceConfig& config)
      : id_(PeerCluster::IdOf(number)),
        transport_(id_, "127.0.0.1:0"),
        broker_(id_, Incarnation(1), transport_, config, Now),
        node_(Options(id_, transport_.address()),
              transport_,
              holder_,
              exchange_,
              Now) {
    directory
        .Register({id_, {}, {}, transport_.address(), {}, ListedState::kLive},
                  Millis(0))
        .value();
    node_.AddRosterListener([this](const std::vector<RosterMember>& members) {
      broker_.UpdateRoster(members);
    });
    node_.SetSlotHandler(
        [this](const InstanceId& sender, const PeerMessage& message) {
          broker_.HandleMessage(sender, message);
        });
    node_.Start();
    runner_ = std::make_unique<PeerRunner>(
        node_, directory,
        PeerRunnerOptions{Millis(50), Millis(50), Millis(1000)});
    ticker_ = std::thread([this] {
      while (!stopping_) {
        broker_.Tick();
        std::this_thread::sleep_for(Millis(10));
      }
    });
  }
  ~ThreadedRouter() { Stop(); }
  ThreadedRouter(const ThreadedRouter&) = delete;
  ThreadedRouter& operator=(const ThreadedRouter&) = delete;

  // Ends all messages and timers, as a crash does for the others.
  void Stop() {
    if (stopping_.exchange(true))
      return;
    runner_.reset();
    ticker_.join();
    node_.Stop();
  }

  const InstanceId& id() const { return id_; }
  PeerNode& node() { return node_; }
  DistributedSlotBroker& broker() { return broker_; }

 private:
  static PeerNodeOptions Options(const InstanceId& id,
                                 const std::string& address) {
    PeerNodeOptions options;
    options.self = id;
    options.peer_address = address;
    options.incarnation = Incarnation(1);
    return options;
  }

  const InstanceId id_;
  NngPeerTransport transport_;
  ControlStateHolder holder_;
  InMemoryChangeExchange exchange_;
  DistributedSlotBroker broker_;
  PeerNode node_;
  std::unique_ptr<PeerRunner> runner_;
  std::atomic<bool> stopping_{false};
  std::thread ticker_;
};

// Waits for a condition; the timeout of the test program bounds it.
template <typename Condition>
void WaitUntil(Condition condition) {
  while (!condition())
    std::this_thread::sleep_for(Millis(5));
}

// Places `count` requests one after another; each is cancelled at once or
// released after its answer. Returns the number of faults seen.
int RunRequests(DistributedSlotBroker& broker,
                const std::string& prefix,
                int count) {
  std::minstd_rand random(static_cast<unsigned>(count));
  int faults = 0;
  for (int i = 0; i < count; ++i) {
    struct Outcome {
      std::atomic<int> answers{0};
      std::atomic<bool> cancelled{false};
      std::atomic<bool> late{false};
      std::promise<bool> granted;
    };
    auto outcome = std::make_shared<Outcome>();
    SlotRequest request;
    request.request = RequestId(prefix + std::to_string(i));
    request.class_id = ClassId("chat");
    request.queue_limit = 1000;
    request.first_token_target = std::chrono::hours(1);
    broker.Request(PoolId("futter"), request,
                   [outcome](const Result<Slot>& result) {
                     if (outcome->cancelled)
                       outcome->late = true;
                     if (++outcome->answers == 1)
                       outcome->granted.set_value(result.has_value());
                   });
    if (random() % 4 == 0) {
      broker.Cancel(request.request);
      outcome->cancelled = true;
    } else if (outcome->granted.get_future().get()) {
      broker.Release(request.request, {});
    }
    faults += outcome->late || outcome->answers > 1;
  }
  return faults;
}

BOOST_AUTO_TEST_SUITE(nng_cluster)

// Races between the threads of real sockets, timers and callers do not show in
// virtual time: a callback after Cancel would touch a stream that is gone, and
// a missing one would hang its caller.
BOOST_AUTO_TEST_CASE(requests_end_once_over_real_sockets_and_an_owner_loss) {
  FixedDirectory directory;
  const ServiceConfig config = MakeConfig(3, 2, 2);
  std::vector<std::unique_ptr<ThreadedRouter>> routers;
  routers.reserve(4);
  for (int i = 0; i < 4; ++i)
    routers.push_back(std::make_unique<ThreadedRouter>(i, directory, config));
  for (const auto& router : routers)
    WaitUntil([&] { return router->node().Members().size() == 4; });

  // The owner of the first cell dies while requests run; no caller uses it.
  const auto owner = OwnerOf(CellId("futter/0"), routers[0]->node().Members());
  const auto dying = std::find_if(
      routers.begin(), routers.end(),
      [&](const auto& router) { return router->id() == owner->instance; });
  std::vector<std::future<int>> callers;
  for (const auto& router : routers) {
    if (router == *dying)
      continue;
    for (int i = 0; i < 3; ++i) {
      callers.push_back(std::async(std::launch::async, [&router, i] {
        return RunRequests(router->broker(),
                           router->id().value() + "-" + std::to_string(i) + "-",
                           200);
      }));
    }
  }
  (*dying)->Stop();
  for (auto& caller : callers)
    BOOST_TEST(caller.get() == 0);
  for (const auto& router : routers) {
    if (router == *dying)
      continue;
    WaitUntil([&] { return router->node().Members().size() == 3; });
    WaitUntil([&] {
      const auto cells = router->broker().OwnedCells();
      return router->broker().open_requests() == 0 &&
             std::all_of(cells.begin(), cells.end(), [](const auto& cell) {
               return cell.waiting == 0 && cell.running == 0;
             });
    });
  }
  BOOST_TEST((*dying)->node().CountLiveWithin(Millis(4000)).listed == 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
