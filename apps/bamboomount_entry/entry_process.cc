#include "entry_process.h"

#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <random>
#include <string>

#include "gateway/gateway.h"
#include "platform/platform.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

constexpr Millis kSettingsCheckInterval{2000};
// Limit of the last usage write, so that a store that does not respond cannot
// delay the end of the process.
constexpr Millis kFinalUsageFlushTimeout{400};
// Delays before changed rows are read, so that changes in quick succession are
// read together.
constexpr Millis kConfigBatchDelay{50};
constexpr Millis kInstancesBatchDelay{250};
// The delay for backend rows is the deadline after which a leaving server must
// receive no more requests, divided by this.
constexpr int kBackendBatchDelayDivisor = 8;

Incarnation NewIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution;
  std::ostringstream text;
  text << std::hex << distribution(device);
  return Incarnation(text.str());
}

// All components of an entry instance. They run on one thread.
class EntryProcess {
 public:
  EntryProcess(const InstanceSettings& settings, const SettingsFile& file)
      : file_(file),
        settings_text_(file.ReadText()),
        state_(settings),
        dispatcher_(context_, protocol_, state_, metrics_),
        server_(dispatcher_,
                discovery_protocol_,
                [this](const std::string& target) {
                  return gossip_handler_.AnswerRowsQuery(target);
                }),
        config_store_(context_, settings.store_address),
        backend_store_(context_, settings.store_address),
        instance_store_(context_, settings.store_address),
        watch_store_(context_, settings.store_address),
        lease_store_(context_, settings.store_address),
        shared_store_(context_, settings.store_address),
        duty_client_(context_, settings.orders_address),
        config_observer_(decoder_, dispatcher_),
        backend_observer_(decoder_, dispatcher_),
        member_observer_(state_.members()),
        config_follower_(context_,
                         config_store_,
                         {decoder_.config_table(), kConfigBatchDelay},
                         config_observer_),
        backend_follower_(
            context_,
            backend_store_,
            {decoder_.backend_table(),
             settings.leaving_deadline / kBackendBatchDelayDivisor},
            backend_observer_),
        instance_follower_(context_,
                           instance_store_,
                           {tables::kInstances, kInstancesBatchDelay},
                           member_observer_),
        followers_{&config_follower_, &backend_follower_, &instance_follower_},
        watch_coordinator_(context_, state_, watch_store_, followers_),
        duties_(shared_store_, duty_client_, state_, incarnation_),
        membership_(context_, shared_store_, state_, incarnation_),
        usage_writer_(context_, shared_store_, state_, incarnation_),
        lease_(context_,
               lease_store_,
               state_,
               incarnation_,
               {[this] { duties_.OnLeaseTaken(); },
                [this](const DutyLease& lease, Instant now) {
                  duties_.Step(lease, now);
                  membership_.RemoveFailedInstances();
                }}),
        gossip_handler_(context_,
                        state_,
                        followers_,
                        watch_coordinator_,
                        lease_,
                        incarnation_),
        gossip_exchange_(context_, state_, incarnation_, gossip_handler_),
        stream_origins_(
            context_,
            state_,
            [this](const Member& target, const StreamOriginMessage& message) {
              gossip_exchange_.SendStreamOrigins(target, message);
            }),
        stop_signals_(context_, SIGTERM, SIGINT),
        reload_signal_(context_, SIGHUP),
        settings_timer_(context_),
        exit_timer_(context_) {}

  int Run() {
    server_.Listen();
    for (TableFollower* follower : followers_) {
      follower->SetChangeCallback(
          [this] { gossip_exchange_.SendEarlyRound(); });
      follower->Start();
    }
    watch_coordinator_.Start();
    membership_.Start();
    usage_writer_.Start();
    lease_.Start();
    dispatcher_.SetStreamOrigins(stream_origins_);
    gossip_exchange_.SetStreamOriginHandler(stream_origins_);
    gossip_exchange_.Start();
    WaitForStopSignal();
    WaitForReloadSignal();
    ScheduleSettingsCheck();
    context_.run();
    Log(gateway_events::kStopped);
    return EXIT_SUCCESS;
  }

 private:
  void WaitForStopSignal() {
    stop_signals_.async_wait([this](const error_code& error, int) {
      if (error)
        return;
      Log(gateway_events::kStopRequested);
      membership_.AnnounceLeaving();
      lease_.StopRenewing();
      server_.BeginShutdown([this] { FlushUsageAndExit(); });
      WaitForStopSignal();
    });
  }

  void FlushUsageAndExit() {
    usage_writer_.Flush([this] { context_.stop(); });
    exit_timer_.expires_after(kFinalUsageFlushTimeout);
    exit_timer_.async_wait([this](const error_code&) { context_.stop(); });
  }

  void WaitForReloadSignal() {
    reload_signal_.async_wait([this](const error_code& error, int) {
      if (error)
        return;
      ReloadSettingsIfChanged();
      WaitForReloadSignal();
    });
  }

  void ScheduleSettingsCheck() {
    settings_timer_.expires_after(kSettingsCheckInterval);
    settings_timer_.async_wait([this](const error_code& error) {
      if (error)
        return;
      ReloadSettingsIfChanged();
      ScheduleSettingsCheck();
    });
  }

  void ReloadSettingsIfChanged() {
    const std::string text = file_.ReadText();
    if (text == settings_text_)
      return;
    settings_text_ = text;
    const ParsedSettings parsed = file_.Read();
    if (!parsed.errors.empty()) {
      Log(gateway_events::kSettingsRefused,
          {{"path", file_.path()}, {"cause", parsed.errors.front()}});
      return;
    }
    state_.ApplyReloadedSettings(parsed.settings);
    Log(gateway_events::kSettingsReloaded, {{"path", file_.path()}});
  }

  const SettingsFile& file_;
  std::string settings_text_;
  const Incarnation incarnation_ = NewIncarnation();
  asio::io_context context_{1};
  Metrics metrics_;
  HttpMessageProtocol protocol_;
  HttpDiscoveryProtocol discovery_protocol_;
  RowDecoder decoder_;
  GatewayState state_;
  Dispatcher dispatcher_;
  GatewayServer server_;
  // Calls that wait for changes occupy their connection, and lease renewals
  // must not queue behind other calls, so these each have a connection of their
  // own.
  HttpTableStore config_store_;
  HttpTableStore backend_store_;
  HttpTableStore instance_store_;
  HttpTableStore watch_store_;
  HttpTableStore lease_store_;
  HttpTableStore shared_store_;
  HttpDutyClient duty_client_;
  ConfigObserver config_observer_;
  BackendObserver backend_observer_;
  MemberObserver member_observer_;
  TableFollower config_follower_;
  TableFollower backend_follower_;
  TableFollower instance_follower_;
  const StoreWatchCoordinator::Followers followers_;
  StoreWatchCoordinator watch_coordinator_;
  DutyRunner duties_;
  InstanceRegistrar membership_;
  UsageWriter usage_writer_;
  DutyLeaseManager lease_;
  FleetGossipHandler gossip_handler_;
  GossipExchange gossip_exchange_;
  PeerStreamOrigins stream_origins_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signal_;
  asio::steady_timer settings_timer_;
  asio::steady_timer exit_timer_;
};

}  // namespace

int RunEntryProcess(const InstanceSettings& settings,
                    const SettingsFile& file) {
  UseAsyncStandardOutputForLogs();
  SetLogProcess(settings.instance.value());
  EntryProcess process(settings, file);
  return process.Run();
}

}  // namespace bamboomount
