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
// How long the store waits for changes. A connection that falls silent is
// noticed by its keep-alive probes.
constexpr Millis kConfigWait{25000};
constexpr Millis kBackendWait{25000};
// Changes of backend servers that come close together are read together, within
// this part of the time in which a leaving server must get no more requests.
constexpr int kBackendPauseParts = 4;

Incarnation NewIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> any;
  std::ostringstream text;
  text << std::hex << any(device);
  return Incarnation(text.str());
}

// All parts of an entry instance, on one thread.
class EntryProcess {
 public:
  EntryProcess(const InstanceSettings& settings, const SettingsFile& file)
      : file_(file),
        settings_text_(file.Text()),
        state_(settings),
        dispatcher_(context_, protocol_, state_, metrics_),
        server_(dispatcher_, entry_calls_),
        config_store_(context_, settings.store_address),
        backend_store_(context_, settings.store_address),
        shared_store_(context_, settings.store_address),
        guard_store_(context_, settings.store_address),
        duty_client_(context_, settings.orders_address),
        config_observer_(decoder_, state_),
        backend_observer_(decoder_, dispatcher_),
        config_follower_(context_,
                         config_store_,
                         {decoder_.config_table(), kConfigWait, Millis(0)},
                         config_observer_),
        backend_follower_(context_,
                          backend_store_,
                          {decoder_.backend_table(), kBackendWait,
                           settings.leaving_deadline / kBackendPauseParts},
                          backend_observer_),
        duties_(shared_store_, duty_client_, state_),
        coordinator_(context_,
                     shared_store_,
                     state_,
                     duties_,
                     NewIncarnation()),
        freshness_guard_(context_, config_follower_, guard_store_, state_),
        peer_exchange_(context_, state_),
        stop_signals_(context_, SIGTERM, SIGINT),
        reload_signal_(context_, SIGHUP),
        settings_timer_(context_) {}

  int Run() {
    server_.Listen();
    config_follower_.Start();
    backend_follower_.Start();
    coordinator_.Start();
    freshness_guard_.Start();
    peer_exchange_.OnStranger([this] { coordinator_.ReadMembersSoon(); });
    peer_exchange_.OnNewerConfig([this] { freshness_guard_.AskNow(); });
    peer_exchange_.Start();
    WaitForStop();
    WaitForReload();
    CheckSettingsLater();
    context_.run();
    Log(gateway_events::kStopped);
    return EXIT_SUCCESS;
  }

 private:
  void WaitForStop() {
    stop_signals_.async_wait([this](const error_code& error, int) {
      if (error)
        return;
      Log(gateway_events::kStopRequested);
      coordinator_.AnnounceLeaving();
      server_.BeginStop([this] { context_.stop(); });
      WaitForStop();
    });
  }

  void WaitForReload() {
    reload_signal_.async_wait([this](const error_code& error, int) {
      if (error)
        return;
      ReadSettingsAgain();
      WaitForReload();
    });
  }

  void CheckSettingsLater() {
    settings_timer_.expires_after(kSettingsCheckInterval);
    settings_timer_.async_wait([this](const error_code& error) {
      if (error)
        return;
      ReadSettingsAgain();
      CheckSettingsLater();
    });
  }

  void ReadSettingsAgain() {
    const std::string text = file_.Text();
    if (text == settings_text_)
      return;
    settings_text_ = text;
    const SettingsReading reading = file_.Read();
    if (!reading.errors.empty()) {
      Log(gateway_events::kSettingsRefused,
          {{"path", file_.path()}, {"cause", reading.errors.front()}});
      return;
    }
    state_.Reload(reading.settings);
    Log(gateway_events::kSettingsReloaded, {{"path", file_.path()}});
  }

  const SettingsFile& file_;
  std::string settings_text_;
  asio::io_context context_{1};
  Metrics metrics_;
  HttpMessageProtocol protocol_;
  EntryCallsDecoder entry_calls_;
  RowDecoder decoder_;
  GatewayState state_;
  Dispatcher dispatcher_;
  GatewayServer server_;
  // Calls that wait for changes each need a connection of their own.
  HttpTableStore config_store_;
  HttpTableStore backend_store_;
  HttpTableStore shared_store_;
  HttpTableStore guard_store_;
  HttpDutyClient duty_client_;
  ConfigObserver config_observer_;
  BackendObserver backend_observer_;
  TableFollower config_follower_;
  TableFollower backend_follower_;
  DutyRunner duties_;
  Coordinator coordinator_;
  FreshnessGuard freshness_guard_;
  PeerExchange peer_exchange_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signal_;
  asio::steady_timer settings_timer_;
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
