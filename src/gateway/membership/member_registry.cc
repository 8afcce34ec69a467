#include "gateway/membership/member_registry.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/stable_hash.h"

namespace bamboomount {
namespace {

// A caller that knows a single address has no fallback when that instance
// fails.
constexpr std::size_t kMinAddresses = 2;

using LocalityFilter = bool (*)(const Member&, const ZoneId&, const RegionId&);

// From the nearest to the farthest instances.
constexpr LocalityFilter kLocalityFilters[] = {
    [](const Member& member, const ZoneId& zone, const RegionId&) {
      return member.zone == zone;
    },
    [](const Member& member, const ZoneId&, const RegionId& region) {
      return member.region == region;
    },
    [](const Member&, const ZoneId&, const RegionId&) { return true; },
};

}  // namespace

void MemberRegistry::Update(const Member& member,
                            RowVersion version,
                            Instant now) {
  const bool is_new = !entries_.contains(member.instance);
  Entry& entry = entries_[member.instance];
  const bool restarted = entry.member.incarnation != member.incarnation;
  // A process that leaves does not stay; the row is from before it left.
  const bool outdated = !restarted && entry.member.leaving && !member.leaving;
  entry.member = member;
  entry.member.leaving = member.leaving || outdated;
  entry.listed = true;
  entry.row_is_outdated = outdated;
  entry.version = version;
  entry.rank_hash = StableHash(member.instance.value());
  instance_by_hash_[HashOf(member.instance)] = member.instance;
  if (!restarted || member.peer_address.empty())
    return;
  entry.last_heartbeat = now;
  if (is_new && InRestoreWindow(now))
    entry.last_heartbeat = now - HeartbeatTimeout() - Millis(1);
}

void MemberRegistry::Remove(const InstanceId& instance) {
  entries_.erase(instance);
  instance_by_hash_.erase(HashOf(instance));
}

void MemberRegistry::RetainOnly(const std::vector<InstanceId>& listed,
                                Instant now) {
  const std::set<InstanceId> kept(listed.begin(), listed.end());
  for (auto& [instance, entry] : entries_) {
    if (!kept.contains(instance))
      entry.listed = false;
  }
  if (!InRestoreWindow(now))
    EraseUnlisted();
}

void MemberRegistry::OnStoreRestored(Instant now) {
  restore_until_ = now + kRestoreWindow;
}

void MemberRegistry::Expire(Instant now) {
  if (!restore_until_ || now < *restore_until_)
    return;
  restore_until_.reset();
  EraseUnlisted();
}

void MemberRegistry::EraseUnlisted() {
  std::erase_if(entries_, [this](const auto& item) {
    const bool erased = !item.second.listed;
    if (erased)
      instance_by_hash_.erase(HashOf(item.first));
    return erased;
  });
}

bool MemberRegistry::IsListed(const InstanceId& instance) const {
  const auto entry = entries_.find(instance);
  return entry != entries_.end() && entry->second.listed &&
         !entry->second.row_is_outdated;
}

void MemberRegistry::RecordHeartbeat(const InstanceId& instance,
                                     const MemberStatus& status,
                                     Instant now) {
  const auto entry = entries_.find(instance);
  if (entry == entries_.end())
    return;
  entry->second.last_heartbeat = now;
  entry->second.last_direct_heartbeat = now;
  entry->second.status = status;
}

std::size_t MemberRegistry::CountHeard(Millis period, Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [period, now](const auto& item) {
        const auto& last = item.second.last_heartbeat;
        return last && now - *last < period;
      }));
}

std::uint32_t MemberRegistry::HashOf(const InstanceId& instance) {
  return static_cast<std::uint32_t>(StableHash(instance.value()));
}

std::vector<RelayedHeartbeat> MemberRegistry::HeartbeatsToRelay(
    Instant now) const {
  std::vector<RelayedHeartbeat> recent;
  for (const auto& [instance, entry] : entries_) {
    if (!entry.last_direct_heartbeat)
      continue;
    const Millis age = ToMillis(now - *entry.last_direct_heartbeat);
    if (age < kRelayPeriod)
      recent.push_back({static_cast<std::uint32_t>(entry.rank_hash), age});
  }
  const std::size_t count = std::min(recent.size(), kMaxRelayed);
  std::partial_sort(
      recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count),
      recent.end(), [](const RelayedHeartbeat& a, const RelayedHeartbeat& b) {
        return a.age < b.age;
      });
  recent.resize(count);
  return recent;
}

void MemberRegistry::RecordRelayedHeartbeat(const RelayedHeartbeat& heartbeat,
                                            Instant now) {
  const auto instance = instance_by_hash_.find(heartbeat.instance_hash);
  if (instance == instance_by_hash_.end())
    return;
  const auto entry = entries_.find(instance->second);
  if (entry == entries_.end())
    return;
  const Instant sent = now - heartbeat.age;
  std::optional<Instant>& last = entry->second.last_heartbeat;
  last = last ? std::max(*last, sent) : sent;
}

bool MemberRegistry::IsSilent(const InstanceId& instance, Instant now) const {
  const auto entry = entries_.find(instance);
  return entry != entries_.end() && IsSilent(entry->second, now);
}

Millis MemberRegistry::HeartbeatTimeout() const {
  return kHeartbeatTimeout +
         kHeartbeatTimeoutPerMember * static_cast<int>(entries_.size());
}

bool MemberRegistry::IsSilent(const Entry& entry, Instant now) const {
  return entry.last_heartbeat &&
         now - *entry.last_heartbeat > HeartbeatTimeout();
}

bool MemberRegistry::IsLikelyIsolated(Instant now) const {
  std::size_t known = 0;
  std::size_t silent = 0;
  for (const auto& [instance, entry] : entries_) {
    known += entry.last_heartbeat ? 1 : 0;
    silent += IsSilent(entry, now) ? 1 : 0;
  }
  return 2 * silent > known;
}

std::vector<const Member*> MemberRegistry::All() const {
  std::vector<const Member*> members;
  members.reserve(entries_.size());
  for (const auto& [instance, entry] : entries_)
    members.push_back(&entry.member);
  return members;
}

const Member* MemberRegistry::Find(const InstanceId& instance) const {
  const auto entry = entries_.find(instance);
  return entry == entries_.end() ? nullptr : &entry->second.member;
}

std::vector<std::string> MemberRegistry::AddressesFor(
    const ZoneId& zone,
    const RegionId& region,
    const RegionLimit& regions,
    std::size_t limit,
    Instant now) const {
  const bool trusts_timeouts = !IsLikelyIsolated(now);
  std::vector<const Member*> eligible;
  std::vector<const Member*> with_servers;
  for (const auto& [instance, entry] : entries_) {
    if (entry.member.leaving || (trusts_timeouts && IsSilent(entry, now)))
      continue;
    if (entry.member.region != region && !regions.Allows(entry.member.region))
      continue;
    eligible.push_back(&entry.member);
    if (entry.status.reaches_servers)
      with_servers.push_back(&entry.member);
  }
  if (!with_servers.empty())
    eligible = std::move(with_servers);
  std::vector<std::string> addresses;
  for (const LocalityFilter filter : kLocalityFilters) {
    addresses.clear();
    for (const Member* member : eligible) {
      if (filter(*member, zone, region) && addresses.size() < limit)
        addresses.push_back(member->caller_address);
    }
    if (addresses.size() >= kMinAddresses)
      break;
  }
  return addresses;
}

std::vector<const Member*> MemberRegistry::WithServers(Instant now) const {
  std::vector<const Member*> members;
  for (const auto& [instance, entry] : entries_) {
    const bool heard = entry.last_heartbeat &&
                       now - *entry.last_heartbeat <= HeartbeatTimeout() / 2;
    if (heard && !entry.member.leaving && entry.status.reaches_servers)
      members.push_back(&entry.member);
  }
  return members;
}

int MemberRegistry::Count() const {
  return std::max<int>(1, static_cast<int>(entries_.size()));
}

MemberRegistry::RankKey MemberRegistry::RankKeyOf(const Entry& entry,
                                                  Instant now) const {
  const bool ineligible = entry.member.leaving || IsSilent(entry, now) ||
                          !entry.status.store_reachable;
  return {ineligible, -entry.member.capacity, entry.rank_hash};
}

std::size_t MemberRegistry::CandidateRank(const InstanceId& instance,
                                          Instant now) const {
  const auto own = entries_.find(instance);
  if (own == entries_.end())
    return entries_.size();
  const RankKey own_key = RankKeyOf(own->second, now);
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const auto& item) { return RankKeyOf(item.second, now) < own_key; }));
}

std::vector<const Member*> MemberRegistry::FirstCandidates(std::size_t count,
                                                           Instant now) const {
  std::vector<std::pair<RankKey, const Member*>> ranked;
  ranked.reserve(entries_.size());
  for (const auto& [instance, entry] : entries_)
    ranked.emplace_back(RankKeyOf(entry, now), &entry.member);
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<const Member*> first;
  for (std::size_t i = 0; i < count; ++i)
    first.push_back(ranked[i].second);
  return first;
}

Millis MemberRegistry::MedianWallOffset(Millis local_offset,
                                        Instant now) const {
  std::vector<Millis> offsets{local_offset};
  for (const auto& [instance, entry] : entries_) {
    if (entry.status.wall_offset && !IsSilent(entry, now))
      offsets.push_back(*entry.status.wall_offset);
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

std::vector<MemberRegistry::Row> MemberRegistry::RowsOfFailedMembers(
    Instant now) const {
  std::vector<Row> failed;
  if (IsLikelyIsolated(now))
    return failed;
  for (const auto& [instance, entry] : entries_) {
    if (entry.listed && entry.last_heartbeat &&
        now - *entry.last_heartbeat > HeartbeatTimeout() * kRowRemovalFactor)
      failed.push_back({instance, entry.version});
  }
  return failed;
}

}  // namespace bamboomount
