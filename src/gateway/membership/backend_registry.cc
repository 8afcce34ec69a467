#include "gateway/membership/backend_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomount {

void BackendRegistry::Update(BackendServer server, Instant now) {
  const BackendServer* known = Find(server.id);
  const bool same =
      known && IsSameProcess(known->started_at_ms, server.started_at_ms);
  server.listed_since = same ? known->listed_since : now;
  if (same && server.started_at_ms == 0)
    server.started_at_ms = known->started_at_ms;
  if (HasAnnounced(server, now))
    server.draining = true;
  servers_.insert_or_assign(server.id, Entry{server, std::nullopt});
  departed_.Forget(server.id);
  withheld_.erase(server.id);
  ++revision_;
}

bool BackendRegistry::HasAnnounced(const BackendServer& server, Instant now) {
  const auto announcement = announcements_.find(server.id);
  if (announcement == announcements_.end())
    return false;
  if (!IsSameProcess(announcement->second.started_at_ms,
                     server.started_at_ms)) {
    announcements_.erase(announcement);
    return false;
  }
  announcement->second.last_listed = now;
  return true;
}

bool BackendRegistry::MarkLeaving(const BackendServer& server, Instant now) {
  const auto entry = servers_.find(server.id);
  if (entry != servers_.end() &&
      !IsSameProcess(entry->second.server.started_at_ms, server.started_at_ms))
    return false;
  const auto [announcement, is_new] =
      announcements_.try_emplace(server.id, Announcement{});
  announcement->second = {server.started_at_ms, now};
  if (!is_new || entry == servers_.end())
    return is_new;
  entry->second.server.draining = true;
  ++revision_;
  return true;
}

void BackendRegistry::Remove(const BackendId& id, Instant now) {
  withheld_.erase(id);
  const auto entry = servers_.find(id);
  if (entry == servers_.end())
    return;
  ++revision_;
  if (InRestoreWindow(now) && !entry->second.server.draining) {
    entry->second.usable_until = restore_until_;
    return;
  }
  EraseDeparted(entry, now);
}

void BackendRegistry::EraseDeparted(std::map<BackendId, Entry>::iterator entry,
                                    Instant now) {
  departed_.Record(entry->second.server, now);
  servers_.erase(entry);
}

void BackendRegistry::OnStoreRestored(Instant now) {
  OnStoreRecovered(now);
  restored_at_ = now;
}

bool BackendRegistry::IsOutdated(const BackendServer& row, Instant now) const {
  if (!restored_at_ || now >= *restored_at_ + kCopiedRowLifetime)
    return false;
  const BackendServer* known = Find(row.id);
  if (!known)
    return departed_.Includes(row);
  if (IsSameProcess(row.started_at_ms, known->started_at_ms))
    return known->draining && !row.draining;
  return row.started_at_ms < known->started_at_ms;
}

void BackendRegistry::Replace(const std::vector<BackendServer>& servers,
                              Instant now) {
  std::set<BackendId> listed;
  // Servers in the first read of the table were listed before this instance
  // started.
  const Instant since = servers_.empty() ? Instant() : now;
  std::map<BackendId, WithheldRow> withheld;
  for (const BackendServer& server : servers) {
    if (IsOutdated(server, now)) {
      if (departed_.MayHaveLapsed(server))
        withheld[server.id] = {server, *restored_at_ + kCopiedRowLifetime};
      continue;
    }
    listed.insert(server.id);
    Update(server, since);
  }
  std::vector<BackendId> missing;
  for (const auto& [id, entry] : servers_) {
    if (!listed.contains(id))
      missing.push_back(id);
  }
  for (const BackendId& id : missing)
    Remove(id, now);
  withheld_ = std::move(withheld);
}

void BackendRegistry::RemoveUnreadable(const BackendId& id) {
  if (servers_.erase(id) > 0)
    ++revision_;
}

void BackendRegistry::SetEvacuatedZones(std::set<ZoneId> zones) {
  if (zones == evacuated_zones_)
    return;
  evacuated_zones_ = std::move(zones);
  ++revision_;
}

void BackendRegistry::Expire(Instant now) {
  std::erase_if(announcements_, [now](const auto& item) {
    return now - item.second.last_listed >= kAnnouncementLifetime;
  });
  departed_.Expire(now);
  ReleaseWithheldRows(now);
  for (auto entry = servers_.begin(); entry != servers_.end();) {
    const auto& until = entry->second.usable_until;
    const auto current = entry++;
    if (!until || now < *until)
      continue;
    EraseDeparted(current, now);
    ++revision_;
  }
}

void BackendRegistry::ReleaseWithheldRows(Instant now) {
  std::vector<BackendServer> released;
  for (const auto& [id, row] : withheld_) {
    if (now >= row.end)
      released.push_back(row.server);
  }
  for (const BackendServer& server : released)
    Update(server, now);
}

std::vector<const BackendServer*> BackendRegistry::Usable(
    const PoolId& pool) const {
  std::vector<const BackendServer*> usable;
  for (const auto& [id, entry] : servers_) {
    if (entry.server.pool != pool || !IsUsable(entry.server))
      continue;
    usable.push_back(&entry.server);
  }
  return usable;
}

std::vector<const BackendServer*> BackendRegistry::AllUsable() const {
  std::vector<const BackendServer*> usable;
  for (const auto& [id, entry] : servers_) {
    if (IsUsable(entry.server))
      usable.push_back(&entry.server);
  }
  return usable;
}

const BackendServer* BackendRegistry::Find(const BackendId& id) const {
  const auto entry = servers_.find(id);
  return entry == servers_.end() ? nullptr : &entry->second.server;
}

const BackendServer* BackendRegistry::FindUsable(const BackendId& id) const {
  const BackendServer* server = Find(id);
  return server && IsUsable(*server) ? server : nullptr;
}

std::vector<const BackendServer*> BackendRegistry::Listed(
    const PoolId& pool) const {
  std::vector<const BackendServer*> listed;
  for (const auto& [id, entry] : servers_) {
    if (entry.server.pool == pool)
      listed.push_back(&entry.server);
  }
  return listed;
}

bool BackendRegistry::Lists(const PoolId& pool,
                            const SoftwareVersion& version) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& item) {
    const BackendServer& server = item.second.server;
    return server.pool == pool && server.version == version;
  });
}

std::map<PoolId, std::set<SoftwareVersion>> BackendRegistry::ListedVersions()
    const {
  std::map<PoolId, std::set<SoftwareVersion>> listed;
  for (const auto& [id, entry] : servers_)
    listed[entry.server.pool].insert(entry.server.version);
  return listed;
}

bool BackendRegistry::InRestoreWindow(Instant now) const {
  return restore_until_ && now < *restore_until_;
}

}  // namespace bamboomount
