#include "gateway/placement/cold_server_pacer.h"

#include <algorithm>
#include <cmath>
#include <string>

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

void ColdServerPacer::RecordUnreachable(const BackendId& server, Instant now) {
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
  const int owners = OwnerCount(pool, members_.All().size());
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
  Ownership& ownership = ownership_[server.id];
  if (ownership.determined_at == Instant() ||
      now - ownership.determined_at >= kOwnershipLifetime)
    ownership = {DetermineOwner(server, pool), now};
  return ownership.owned;
}

bool ColdServerPacer::DetermineOwner(const BackendServer& server,
                                     const Pool& pool) const {
  const auto members = members_.All();
  if (!members_.Find(self_))
    return false;
  const std::string key =
      server.id.value() + '/' + std::to_string(server.started_at_ms);
  const std::uint64_t own = RendezvousWeight(key, self_.value());
  const auto ahead =
      std::count_if(members.begin(), members.end(), [&](const Member* member) {
        return RendezvousWeight(key, member->instance.value()) > own;
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
  std::erase_if(unreachable_at_, [now](const auto& item) {
    return now - item.second >= kRetention;
  });
  std::erase_if(sent_, [now](const auto& item) {
    return item.second.empty() || now - item.second.back() >= kWindow;
  });
  std::erase_if(ownership_, [now](const auto& item) {
    return now - item.second.determined_at >= kRetention;
  });
}

}  // namespace bamboomount
