#include "gateway/membership/member_registry.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/stable_hash.h"

namespace bamboomount {
namespace {

// Callers that know a single address have nowhere to go when it fails.
constexpr std::size_t kMinAddresses = 2;

using Filter = bool (*)(const Member&, const ZoneId&, const RegionId&);

// From near to far.
constexpr Filter kNearToFar[] = {
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
  Entry& entry = entries_[member.instance];
  const bool restarted = entry.member.incarnation != member.incarnation;
  entry.member = member;
  entry.version = version;
  if (restarted && !member.peer_address.empty())
    entry.heard = now;
}

void MemberRegistry::Remove(const InstanceId& instance) {
  entries_.erase(instance);
}

void MemberRegistry::Keep(const std::vector<InstanceId>& listed) {
  const std::set<InstanceId> kept(listed.begin(), listed.end());
  std::erase_if(entries_, [&kept](const auto& item) {
    return !kept.contains(item.first);
  });
}

void MemberRegistry::NoteHeard(const InstanceId& instance,
                               const MemberSigns& signs,
                               Instant now) {
  const auto entry = entries_.find(instance);
  if (entry == entries_.end())
    return;
  entry->second.heard = now;
  entry->second.signs = signs;
}

bool MemberRegistry::IsSilent(const InstanceId& instance, Instant now) const {
  const auto entry = entries_.find(instance);
  return entry != entries_.end() && IsSilent(entry->second, now);
}

Millis MemberRegistry::SilenceLimit() const {
  return kSilence + kSilencePerMember * static_cast<int>(entries_.size());
}

bool MemberRegistry::IsSilent(const Entry& entry, Instant now) const {
  return entry.heard && now - *entry.heard > SilenceLimit();
}

bool MemberRegistry::HearsFew(Instant now) const {
  std::size_t known = 0;
  std::size_t silent = 0;
  for (const auto& [instance, entry] : entries_) {
    known += entry.heard ? 1 : 0;
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

std::vector<std::string> MemberRegistry::AddressesFor(const ZoneId& zone,
                                                      const RegionId& region,
                                                      std::size_t limit,
                                                      Instant now) const {
  const bool trusts_silence = !HearsFew(now);
  std::vector<const Member*> offered;
  for (const auto& [instance, entry] : entries_) {
    if (entry.member.leaving || (trusts_silence && IsSilent(entry, now)))
      continue;
    offered.push_back(&entry.member);
  }
  std::vector<std::string> addresses;
  for (const Filter filter : kNearToFar) {
    addresses.clear();
    for (const Member* member : offered) {
      if (filter(*member, zone, region) && addresses.size() < limit)
        addresses.push_back(member->caller_address);
    }
    if (addresses.size() >= kMinAddresses)
      break;
  }
  return addresses;
}

int MemberRegistry::Count() const {
  return std::max<int>(1, static_cast<int>(entries_.size()));
}

std::size_t MemberRegistry::RankOf(const InstanceId& instance,
                                   Instant now) const {
  // Smaller places come first.
  const auto place = [now, this](const Entry& entry) {
    const bool unfit = entry.member.leaving || IsSilent(entry, now) ||
                       !entry.signs.reaches_store;
    return std::tuple(unfit, -entry.member.capacity,
                      StableHash(entry.member.instance.value()));
  };
  const auto own = entries_.find(instance);
  if (own == entries_.end())
    return entries_.size();
  const auto own_place = place(own->second);
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const auto& item) { return place(item.second) < own_place; }));
}

Millis MemberRegistry::WallOffset(Millis own, Instant now) const {
  std::vector<Millis> offsets{own};
  for (const auto& [instance, entry] : entries_) {
    if (entry.signs.wall_offset && !IsSilent(entry, now))
      offsets.push_back(*entry.signs.wall_offset);
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

std::vector<MemberRegistry::Row> MemberRegistry::FailedRows(Instant now) const {
  std::vector<Row> failed;
  if (HearsFew(now))
    return failed;
  for (const auto& [instance, entry] : entries_) {
    if (entry.heard && now - *entry.heard > SilenceLimit() * kDropFactor)
      failed.push_back({instance, entry.version});
  }
  return failed;
}

}  // namespace bamboomount
