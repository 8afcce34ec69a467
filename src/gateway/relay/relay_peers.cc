#include "gateway/relay/relay_peers.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Ranks of distance; the nearest come first.
enum class Distance { kZone, kRegion, kFar };

Distance DistanceOf(const Member& peer, const InstanceSettings& settings) {
  if (peer.zone == settings.zone)
    return Distance::kZone;
  return peer.region == settings.region ? Distance::kRegion : Distance::kFar;
}

}  // namespace

BackendServer RelayServer(const Member& peer) {
  BackendServer server;
  // No backend server has an id with a slash: ids are keys of rows.
  server.id = BackendId("instance/" + peer.instance.value());
  server.address = peer.peer_address;
  server.zone = peer.zone;
  return server;
}

std::optional<BackendServer> ChooseRelay(const GatewayState& state,
                                         const std::vector<BackendId>& tried,
                                         double random,
                                         Instant now) {
  const InstanceSettings& settings = state.settings();
  std::vector<BackendServer> nearest;
  Distance distance = Distance::kFar;
  for (const Member* peer : state.members().WithServers(now)) {
    if (peer->instance == settings.instance || peer->peer_address.empty())
      continue;
    const BackendServer server = RelayServer(*peer);
    if (std::find(tried.begin(), tried.end(), server.id) != tried.end())
      continue;
    const Distance own = DistanceOf(*peer, settings);
    if (own > distance)
      continue;
    if (own < distance)
      nearest.clear();
    distance = own;
    nearest.push_back(server);
  }
  if (nearest.empty())
    return std::nullopt;
  return nearest[static_cast<std::size_t>(random *
                                          static_cast<double>(nearest.size()))];
}

}  // namespace bamboomount
