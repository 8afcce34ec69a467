#include "gateway/membership/member_registry.h"

#include <algorithm>
#include <set>
#include <utility>

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

void MemberRegistry::Update(const std::string& row_key,
                            Member member,
                            Instant now) {
  if (!member.peer_address.empty())
    heard_.emplace(member.instance, now);
  rows_.insert_or_assign(row_key, std::move(member));
}

void MemberRegistry::Remove(const std::string& row_key) {
  rows_.erase(row_key);
}

void MemberRegistry::Keep(const std::vector<std::string>& row_keys) {
  const std::set<std::string> kept(row_keys.begin(), row_keys.end());
  std::erase_if(rows_,
                [&kept](const auto& row) { return !kept.contains(row.first); });
}

std::vector<const Member*> MemberRegistry::Alive() const {
  std::map<InstanceId, const Member*> newest;
  for (const auto& [key, member] : rows_) {
    if (!IsAlive(member))
      continue;
    const Member*& known = newest[member.instance];
    if (!known || known->store_time < member.store_time)
      known = &member;
  }
  std::vector<const Member*> alive;
  alive.reserve(newest.size());
  for (const auto& [instance, member] : newest)
    alive.push_back(member);
  return alive;
}

const Member* MemberRegistry::FindAlive(const InstanceId& instance) const {
  const Member* newest = nullptr;
  for (const auto& [key, member] : rows_) {
    if (member.instance != instance || !IsAlive(member))
      continue;
    if (!newest || newest->store_time < member.store_time)
      newest = &member;
  }
  return newest;
}

std::vector<std::string> MemberRegistry::AddressesFor(const ZoneId& zone,
                                                      const RegionId& region,
                                                      std::size_t limit,
                                                      Instant now) const {
  std::vector<const Member*> alive = Alive();
  if (!HearsFew(now)) {
    std::erase_if(alive, [this, now](const Member* member) {
      return IsSilent(member->instance, now);
    });
  }
  std::vector<std::string> addresses;
  for (const Filter filter : kNearToFar) {
    addresses.clear();
    for (const Member* member : alive) {
      if (!member->leaving && filter(*member, zone, region) &&
          addresses.size() < limit)
        addresses.push_back(member->caller_address);
    }
    if (addresses.size() >= kMinAddresses)
      break;
  }
  return addresses;
}

bool MemberRegistry::IsSilent(const InstanceId& instance, Instant now) const {
  const auto heard = heard_.find(instance);
  const Millis limit =
      kSilence + kSilencePerMember * static_cast<int>(heard_.size());
  return heard != heard_.end() && now - heard->second > limit;
}

bool MemberRegistry::HearsFew(Instant now) const {
  std::size_t known = 0;
  std::size_t silent = 0;
  for (const Member* member : Alive()) {
    if (!heard_.contains(member->instance))
      continue;
    ++known;
    silent += IsSilent(member->instance, now) ? 1 : 0;
  }
  return 2 * silent > known;
}

int MemberRegistry::AliveCount() const {
  return std::max<int>(1, static_cast<int>(Alive().size()));
}

UsageCounts MemberRegistry::UsageOf(WindowNumber window) const {
  UsageCounts sum;
  for (const auto& [key, member] : rows_) {
    const auto counts = member.usage.find(window);
    if (counts == member.usage.end())
      continue;
    for (const auto& [customer, count] : counts->second)
      sum[customer] += count;
  }
  return sum;
}

std::optional<Millis> MemberRegistry::WallOffset() const {
  std::vector<Millis> offsets;
  for (const Member* member : Alive())
    offsets.push_back(member->wall_offset);
  if (offsets.empty())
    return std::nullopt;
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

std::vector<std::string> MemberRegistry::OutdatedRows() const {
  std::vector<std::string> outdated;
  for (const auto& [key, member] : rows_) {
    if (store_time_ - member.store_time > kRowLifetime)
      outdated.push_back(key);
  }
  return outdated;
}

bool MemberRegistry::IsAlive(const Member& member) const {
  return store_time_ - member.store_time < Expiry();
}

Millis MemberRegistry::Expiry() const {
  return std::min(kMaxExpiry, kMinExpiry + kExpiryPerMember *
                                               static_cast<int>(rows_.size()));
}

}  // namespace bamboomount
