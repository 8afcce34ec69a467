#include "router_process.h"

#include <atomic>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include "directory_poller.h"
#include "events.h"
#include "follower_change_exchange.h"
#include "peer/nng_peer_transport.h"
#include "peer/peer_runner.h"
#include "provider/http_instance_directory.h"
#include "provider/http_object_store.h"
#include "provider/http_table_store.h"
#include "provider/usage_recorder.h"
#include "router/router.h"
#include "router_operations.h"

namespace bamboomount {
namespace {

constexpr Millis kDirectoryPollInterval{1000};
constexpr Millis kRegisterTimeout{1000};
// Interval at which the roster's observations are passed to the freshness rule
// and emergency withdrawals are written to the change log.
constexpr Millis kMaintenanceInterval{250};
constexpr Millis kUsageFlushInterval{5000};
constexpr Millis kUsageFlushTimeout{1000};
constexpr Millis kFlushCheckInterval{100};
constexpr Millis kLoadPollInterval{500};
constexpr Millis kSlotTickInterval{25};
// Two heartbeat intervals of the peer protocol.
constexpr Millis kPeerWaitTimeout{2000};
constexpr std::size_t kMaxStoredSpans = 20'000;

}  // namespace

class RouterProcess::Impl {
 public:
  explicit Impl(const ProcessSettings& settings)
      : settings_(settings),
        table_(settings.platform_address),
        objects_(settings.platform_address),
        directory_(settings.platform_address),
        log_(table_, objects_),
        follower_(log_, state_, MakeFollowerOptions(settings)),
        usage_(table_, settings.instance, UsageWindowSettings()),
        poller_(directory_, kDirectoryPollInterval),
        incarnation_(NewIncarnation()),
        transport_(settings.instance, settings.peer_address),
        slots_(settings.instance,
               incarnation_,
               transport_,
               *state_.current()->config,
               BootSteadyNow),
        load_poller_([this] { return BackendsToPoll(); },
                     [this](const auto& backend, const auto& report) {
                       slots_.ObserveLoad(backend, report);
                     },
                     kLoadPollInterval),
        exchange_(follower_, state_),
        peers_(MakePeerOptions(settings),
               transport_,
               state_,
               exchange_,
               BootSteadyNow),
        operations_({settings_, table_, log_, state_, follower_, peers_,
                     poller_, metrics_, spans_,
                     [this] { return leaving_.load(); }}),
        router_(MakeRouterOptions(settings), MakeRouterDependencies()) {
    state_.AddListener(
        [this](const auto& state) { slots_.Configure(*state->config); });
    state_.AddListener([this](const auto& state) { StopIfDrained(*state); });
    peers_.AddRosterListener(
        [this](const auto& members) { slots_.UpdateRoster(members); });
    peers_.SetSlotHandler([this](const auto& sender, const auto& message) {
      slots_.HandleMessage(sender, message);
    });
    poller_.SetListener(
        [this](const auto& listing) { ApplyDirectoryListing(listing); });
  }

  void Run(const StopSignal& stop) {
    follower_.Start();
    poller_.Start();
    peers_.Start();
    PeerRunner peer_runner(peers_, poller_, {});
    WaitForPeers();
    router_.Start();
    RegisterInstance(ListedState::kLive);
    std::thread maintenance([this] { RunMaintenance(); });
    std::thread usage_flusher([this] { RunUsageFlusher(); });
    std::thread slot_timers([this] { RunSlotTimers(); });
    load_poller_.Start();
    AdminServer admin(settings_.admin_address, settings_.admin_token,
                      operations_);
    std::cout << R"({"listening":")" << router_.listen_address() << "\"}"
              << std::endl;
    Log(kStopRequested, {{"signal", std::to_string(stop.Wait())}});
    leaving_ = true;
    peers_.Leave();
    RegisterInstance(ListedState::kLeaving);
    router_.Drain();
    stopping_ = true;
    maintenance.join();
    usage_flusher.join();
    load_poller_.Stop();
    slot_timers.join();
    poller_.Stop();
    follower_.Stop();
  }

 private:
  static FollowerOptions MakeFollowerOptions(const ProcessSettings& settings) {
    FollowerOptions options;
    options.self = settings.instance;
    return options;
  }

  static RouterOptions MakeRouterOptions(const ProcessSettings& settings) {
    RouterOptions options;
    options.instance = settings.instance;
    options.zone = settings.zone;
    options.listen_address = settings.listen_address;
    options.tls_certificate = settings.tls_certificate;
    options.tls_key = settings.tls_key;
    options.backend_credential = settings.backend_credential;
    options.threads = settings.threads;
    return options;
  }

  // Wall-clock milliseconds, because a later start of the same instance needs a
  // higher number.
  static Incarnation NewIncarnation() {
    return Incarnation(std::chrono::duration_cast<Millis>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
  }

  PeerNodeOptions MakePeerOptions(const ProcessSettings& settings) const {
    PeerNodeOptions options;
    options.self = settings.instance;
    options.peer_address = transport_.address();
    options.incarnation = incarnation_;
    options.seed_peers = settings.seed_peers;
    options.random_seed = std::random_device()();
    return options;
  }

  // Passes the roster's observations to the freshness rule and logs the
  // emergency withdrawals that a store outage left unlogged.
  void RunMaintenance() {
    while (!stopping_) {
      std::this_thread::sleep_for(kMaintenanceInterval);
      for (const InstanceLiveness& heard : peers_.Liveness())
        follower_.OnPeerReport(heard.instance, {heard.sequence, std::nullopt},
                               std::chrono::duration_cast<BootTime>(
                                   heard.last_alive_at.time_since_epoch()));
      operations_.LogEmergencyWithdrawals();
    }
  }

  void RunSlotTimers() {
    while (!stopping_) {
      std::this_thread::sleep_for(kSlotTickInterval);
      slots_.Tick();
    }
  }

  // Backend servers of model pools in the cells that this router owns.
  std::vector<PolledBackend> BackendsToPoll() const {
    const auto config = state_.current()->config;
    std::vector<PolledBackend> polled;
    for (const BackendId& backend : slots_.OwnedBackends()) {
      const BackendRule* rule = config->FindBackend(backend);
      const PoolRule* pool =
          rule == nullptr ? nullptr : config->FindPool(rule->pool);
      if (pool == nullptr || pool->kind != PoolKind::kModel)
        continue;
      polled.push_back({backend, rule->address});
    }
    return polled;
  }

  // Writes usage to the table service periodically and once more at the stop.
  // Totals that could not be written are kept for the next write.
  void RunUsageFlusher() {
    auto next = std::chrono::steady_clock::now() + kUsageFlushInterval;
    while (!stopping_) {
      std::this_thread::sleep_for(kFlushCheckInterval);
      if (std::chrono::steady_clock::now() < next)
        continue;
      next += kUsageFlushInterval;
      FlushUsageOnce();
    }
    FlushUsageOnce();
  }

  void FlushUsageOnce() {
    const auto flushed = usage_.Flush(kUsageFlushTimeout);
    if (!flushed)
      Log(kUsageNotWritten, {{"error", flushed.error().message}});
  }

  RouterDependencies MakeRouterDependencies() {
    return {state_,
            slots_,
            table_,
            metrics_,
            spans_,
            [this] { return follower_.freshness() != Freshness::kStale; },
            [this] { return ActiveInstanceAddresses(); },
            [this](const CustomerId& customer, Tokens prompt, Tokens output) {
              usage_.Record(customer, {1, prompt, output});
            }};
  }

  std::vector<InstanceAddress> ActiveInstanceAddresses() const {
    std::vector<InstanceAddress> addresses;
    for (const ListedInstance& entry : poller_.last().instances) {
      if (entry.state == ListedState::kLeaving)
        continue;
      if (entry.instance == settings_.instance && leaving_)
        continue;
      addresses.push_back({entry.instance, entry.zone, entry.address});
    }
    return addresses;
  }

  void ApplyDirectoryListing(const DirectoryListing& listing) {
    std::set<InstanceId> instances;
    for (const ListedInstance& entry : listing.instances)
      instances.insert(entry.instance);
    follower_.OnInstanceList(std::move(instances));
    peers_.ApplyListing(listing.instances);
    for (const ListedBackend& entry : listing.backends) {
      if (entry.state == ListedState::kLeaving)
        slots_.MarkLeaving(entry.backend);
    }
  }

  // A router that knows no peer considers itself the owner of every cell. Waits
  // until a peer was observed or the instance list is known to be empty, at
  // most for kPeerWaitTimeout.
  void WaitForPeers() {
    const auto deadline = std::chrono::steady_clock::now() + kPeerWaitTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      const LivenessCount count = peers_.CountLiveWithin(kPeerWaitTimeout);
      const bool is_alone = poller_.List(kPeerWaitTimeout).has_value() &&
                            poller_.last().instances.empty();
      if (is_alone || count.live > 1)
        return;
      std::this_thread::sleep_for(kSlotTickInterval);
    }
  }

  // Begins the graceful shutdown, once, if an operator drained this instance.
  void StopIfDrained(const ControlState& state) {
    if (state.drained.contains(settings_.instance) &&
        !drain_requested_.exchange(true))
      StopSignal::Request();
  }

  void RegisterInstance(ListedState state) {
    const auto registered = directory_.Register(
        {settings_.instance, settings_.zone, router_.listen_address(),
         transport_.address(), settings_.admin_address, state},
        kRegisterTimeout);
    if (!registered)
      Log(kDirectoryUnavailable, {{"error", registered.error().message}});
  }

  const ProcessSettings settings_;
  HttpTableStore table_;
  HttpObjectStore objects_;
  HttpInstanceDirectory directory_;
  Metrics metrics_;
  SpanStore spans_{kMaxStoredSpans};
  ControlStateHolder state_;
  ChangeLog log_;
  StateFollower follower_;
  UsageRecorder usage_;
  DirectoryPoller poller_;
  const Incarnation incarnation_;
  NngPeerTransport transport_;
  DistributedSlotBroker slots_;
  BackendLoadPoller load_poller_;
  FollowerChangeExchange exchange_;
  PeerNode peers_;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> drain_requested_ = false;
  RouterOperations operations_;
  RouterServer router_;
};

RouterProcess::RouterProcess(const ProcessSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

RouterProcess::~RouterProcess() = default;

void RouterProcess::Run(const StopSignal& stop) {
  impl_->Run(stop);
}

}  // namespace bamboomount
