#include "router_process.h"

#include <iostream>
#include <utility>

#include "directory_poller.h"
#include "events.h"
#include "platform/http_instance_directory.h"
#include "platform/http_object_store.h"
#include "platform/http_table_store.h"
#include "router/router.h"

namespace bamboomount {
namespace {

constexpr Millis kDirectoryInterval{1000};
constexpr Millis kRegisterTimeout{1000};
constexpr std::size_t kKeptSpans = 20'000;

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
        slots_(*state_.current()->config, 1),
        poller_(directory_, kDirectoryInterval),
        router_(MakeRouterOptions(settings), MakeDependencies()) {
    state_.AddListener(
        [this](const auto& state) { slots_.Configure(*state->config, 1); });
    poller_.SetListener([this](const auto& listing) { OnListing(listing); });
  }

  void Run(const StopSignal& stop) {
    router_.Start();
    follower_.Start();
    poller_.Start();
    Register(ListedState::kLive);
    std::cout << R"({"listening":")" << router_.listen_address() << "\"}"
              << std::endl;
    Log(kStopRequested, {{"signal", std::to_string(stop.Wait())}});
    leaving_ = true;
    Register(ListedState::kLeaving);
    router_.Drain();
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

  RouterDependencies MakeDependencies() {
    return {state_,
            slots_,
            table_,
            metrics_,
            spans_,
            [this] { return follower_.freshness() != Freshness::kStale; },
            [this] { return Addresses(); },
            [](const CustomerId&, Tokens, Tokens) {}};
  }

  std::vector<InstanceAddress> Addresses() const {
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

  void OnListing(const DirectoryListing& listing) {
    std::set<InstanceId> instances;
    for (const ListedInstance& entry : listing.instances)
      instances.insert(entry.instance);
    follower_.OnInstanceList(std::move(instances));
    for (const ListedBackend& entry : listing.backends) {
      if (entry.state == ListedState::kLeaving)
        slots_.MarkLeaving(entry.backend);
    }
  }

  void Register(ListedState state) {
    const auto registered = directory_.Register(
        {settings_.instance, settings_.zone, router_.listen_address(),
         settings_.peer_address, settings_.admin_address, state},
        kRegisterTimeout);
    if (!registered)
      Log(kDirectoryUnavailable, {{"error", registered.error().message}});
  }

  const ProcessSettings settings_;
  HttpTableStore table_;
  HttpObjectStore objects_;
  HttpInstanceDirectory directory_;
  Metrics metrics_;
  SpanStore spans_{kKeptSpans};
  ControlStateHolder state_;
  ChangeLog log_;
  StateFollower follower_;
  LocalSlotBroker slots_;
  DirectoryPoller poller_;
  std::atomic<bool> leaving_ = false;
  RouterServer router_;
};

RouterProcess::RouterProcess(const ProcessSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

RouterProcess::~RouterProcess() = default;

void RouterProcess::Run(const StopSignal& stop) {
  impl_->Run(stop);
}

}  // namespace bamboomount
