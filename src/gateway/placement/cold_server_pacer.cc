#include "gateway/placement/cold_server_pacer.h"

#include <algorithm>
#include <cmath>

namespace bamboomount {
namespace {

// Rows of instances change seldom; the owners are determined anew after this
// time.
constexpr Millis kOwnershipLifetime{250};
// Records of unreachable servers are kept for this time. Longer than any cold
// start that a configuration is likely to set.
constexpr Millis kRetention{60'000};

}  // namespace

void ColdServerPacer::RecordListed(const BackendServer& server, Instant now) {
  if (server.cold_remaining > Millis(0))
    cold_until_[server.id] = now + server.cold_remaining;
}

void ColdServerPacer::RecordAlive(const BackendId& server, Instant now) {
  alive_at_[server] = now;
  unreachable_at_.erase(server);
}

void ColdServerPacer::RecordRestart(const BackendId& server, Instant now) {
  restarted_at_[server] = now;
}

void ColdServerPacer::RecordUnreachable(const BackendId& server, Instant now) {
  const auto alive = alive_at_.find(server);
  if (alive != alive_at_.end() && now <= alive->second)
    return;
  Instant& at = unreachable_at_[server];
  at = std::max(at, now);
}

void ColdServerPacer::MergeUnreachable(
    const std::vector<UnreachableServer>& servers,
    Instant now) {
  for (const UnreachableServer& server : servers)
    RecordUnreachable(server.id, now - server.age);
}

std::vector<UnreachableServer> ColdServerPacer::Unreachable(Instant now) const {
  std::vector<UnreachableServer> servers;
  for (const auto& [id, at] : unreachable_at_) {
    if (now - at < kMaxAbsence)
      servers.push_back({id, ToMillis(now - at)});
  }
  return servers;
}

void ColdServerPacer::RecordEvacuationEnd(const ZoneId& zone, Instant now) {
  evacuation_ended_at_[zone] = now;
}

bool ColdServerPacer::IsCold(const BackendServer& server,
                             const Pool& pool,
                             Instant now) const {
  if (!pool.PacesColdServers())
    return false;
  const auto cold_until = cold_until_.find(server.id);
  if (cold_until != cold_until_.end() && now < cold_until->second)
    return true;
  const auto restarted = restarted_at_.find(server.id);
  if (restarted != restarted_at_.end() &&
      now - restarted->second < pool.cold_start)
    return true;
  const auto unreachable = unreachable_at_.find(server.id);
  if (unreachable != unreachable_at_.end() &&
      now - unreachable->second < kMaxAbsence + pool.cold_start)
    return true;
  const auto ended = evacuation_ended_at_.find(server.zone);
  return ended != evacuation_ended_at_.end() &&
         now - ended->second < pool.cold_start;
}

bool ColdServerPacer::MaySend(const BackendServer& server,
                              const Pool& pool,
                              Instant now) {
  if (!IsCold(server, pool, now))
    return true;
  if (!IsOwner(server, pool, now))
    return false;
  const int owners =
      OwnerCount(pool, static_cast<std::size_t>(members_.Count()));
  const auto limit = static_cast<std::size_t>(
      std::max(1.0, std::floor(pool.cold_requests_per_s / owners)));
  std::deque<Instant>& sent = sent_[server.id];
  while (!sent.empty() && now - sent.front() >= kWindow)
    sent.pop_front();
  return sent.size() < limit;
}

int ColdServerPacer::OwnerCount(const Pool& pool, std::size_t instances) {
  const int by_rate = static_cast<int>(std::floor(pool.cold_requests_per_s));
  return std::max(1,
                  std::min({kMaxOwners, by_rate, static_cast<int>(instances)}));
}

bool ColdServerPacer::IsOwner(const BackendServer& server,
                              const Pool& pool,
                              Instant now) {
  const auto [entry, is_first] = ownership_.try_emplace(server.id);
  Ownership& ownership = entry->second;
  if (is_first || now - ownership.determined_at >= kOwnershipLifetime) {
    const bool owned = DetermineOwner(server.id, pool);
    if (owned && !ownership.owned && !is_first)
      ownership.usable_from = now + kWindow;
    ownership.owned = owned;
    ownership.determined_at = now;
  }
  return ownership.owned && now >= ownership.usable_from;
}

bool ColdServerPacer::DetermineOwner(const BackendId& server,
                                     const Pool& pool) const {
  if (!members_.Find(self_))
    return false;
  const auto members = members_.All();
  const std::uint64_t own = RendezvousWeight(server.value(), self_.value());
  const auto ahead =
      std::count_if(members.begin(), members.end(), [&](const Member* member) {
        return RendezvousWeight(server.value(), member->instance.value()) > own;
      });
  return ahead < OwnerCount(pool, members.size());
}

void ColdServerPacer::RecordSent(const BackendId& server, Instant now) {
  std::deque<Instant>& sent = sent_[server];
  while (!sent.empty() && now - sent.front() >= kWindow)
    sent.pop_front();
  sent.push_back(now);
}

void ColdServerPacer::Expire(Instant now) {
  std::erase_if(cold_until_,
                [now](const auto& item) { return item.second <= now; });
  const auto is_old = [now](const auto& item) {
    return now - item.second >= kRetention;
  };
  std::erase_if(alive_at_, is_old);
  std::erase_if(restarted_at_, is_old);
  std::erase_if(unreachable_at_, is_old);
  std::erase_if(sent_, [now](const auto& item) {
    return item.second.empty() || now - item.second.back() >= kWindow;
  });
  std::erase_if(ownership_, [now](const auto& item) {
    return now - item.second.determined_at >= kRetention;
  });
}

}  // namespace bamboomount
