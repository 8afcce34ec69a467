#include "gateway/relay/server_reachability.h"

#include <algorithm>
#include <map>
#include <utility>

#include "gateway/events.h"
#include "gateway/forwarding/endpoint.h"
#include "telemetry/log.h"

namespace bamboomount {

// One connection to a server. It keeps itself alive until it has ended.
struct ServerReachability::Probe {
  explicit Probe(asio::io_context& context) : socket(context), timer(context) {}

  tcp::socket socket;
  asio::steady_timer timer;
  bool ended = false;
};

ServerReachability::ServerReachability(asio::io_context& context,
                                       GatewayState& state,
                                       std::function<void()> on_change)
    : context_(context),
      state_(state),
      on_change_(std::move(on_change)),
      timer_(context),
      random_(std::random_device{}()) {}

void ServerReachability::RecordSent(Instant now) {
  evidence_.RecordSent(now);
  ProbeIfSuspicious(now);
}

void ServerReachability::RecordFailedConnect(const BackendId& server,
                                             Instant now) {
  evidence_.RecordFailedConnect(server, now);
  ProbeIfSuspicious(now);
}

void ServerReachability::ProbeIfSuspicious(Instant now) {
  if (round_ || IsCutOff() || evidence_.IsTrusted(now))
    return;
  const bool silent =
      evidence_.IsSilent(now) && state_.loads().BusyServers() > 1;
  if (silent || evidence_.ConnectsFail(now))
    BeginRound();
}

void ServerReachability::BeginRound() {
  const std::vector<BackendServer> servers = ServersToProbe();
  Round round;
  round.pending = servers.size();
  for (const BackendServer& server : servers)
    round.probed.insert(server.id);
  round_ = std::move(round);
  for (const BackendServer& server : servers)
    Connect(server);
  if (servers.empty())
    EndRound();
}

void ServerReachability::Connect(const BackendServer& server) {
  const auto endpoint = ParseIpEndpoint(server.address);
  const auto probe = std::make_shared<Probe>(context_);
  const auto end = [this, probe, id = server.id](bool answered) {
    if (std::exchange(probe->ended, true))
      return;
    probe->timer.cancel();
    error_code ignored;
    probe->socket.close(ignored);
    OnProbeEnd(id, answered);
  };
  if (!endpoint) {
    asio::post(context_, [end] { end(false); });
    return;
  }
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([end](const error_code& error) {
    if (!error)
      end(false);
  });
  probe->socket.async_connect(*endpoint,
                              [end](const error_code& error) { end(!error); });
}

void ServerReachability::OnProbeEnd(const BackendId& server, bool answered) {
  if (answered)
    round_->answered.insert(server);
  if (--round_->pending == 0)
    EndRound();
}

void ServerReachability::EndRound() {
  const Round round = *std::exchange(round_, std::nullopt);
  const bool changed =
      evidence_.RecordProbes(round.probed, round.answered, BootClock::now());
  if (changed) {
    // The failures were those of this instance's network path.
    state_.health().ForgetFailures();
    state_.cold_pacer().ForgetUnreachable();
    Log(IsCutOff() ? gateway_events::kServersUnreachable
                   : gateway_events::kServersReachable,
        {{"probed", std::to_string(round.probed.size())}});
  }
  state_.SetReachesServers(!IsCutOff());
  if (IsCutOff())
    ProbeLater();
  for (const auto& decided : std::exchange(waiting_, {}))
    decided();
  if (changed)
    on_change_();
}

void ServerReachability::ProbeLater() {
  timer_.expires_after(kProbeInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      BeginRound();
  });
}

std::vector<BackendServer> ServerReachability::ServersToProbe() {
  std::vector<const BackendServer*> servers = state_.backends().AllUsable();
  std::shuffle(servers.begin(), servers.end(), random_);
  // The servers of each pool and zone in turn.
  std::map<std::pair<PoolId, ZoneId>, std::size_t> counts;
  std::vector<std::pair<std::size_t, const BackendServer*>> ranked;
  ranked.reserve(servers.size());
  for (const BackendServer* server : servers)
    ranked.emplace_back(counts[{server->pool, server->zone}]++, server);
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<BackendServer> chosen;
  for (const auto& [rank, server] : ranked) {
    if (chosen.size() == kProbes)
      break;
    chosen.push_back(*server);
  }
  return chosen;
}

}  // namespace bamboomount
