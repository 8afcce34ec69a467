#include "gateway/streams/pool_version_history.h"

#include <utility>

#include "gateway/streams/stream_origin_table.h"

namespace bamboomount {
namespace {

// How far back a stream that may still be resumed can have begun.
constexpr Millis kReach = StreamOriginTable::kStreamLifetime;

}  // namespace

void PoolVersionHistory::SetListed(ListedVersions listed, Instant now) {
  for (const auto& [pool, versions] : listed_) {
    for (const SoftwareVersion& version : versions) {
      const auto still = listed.find(pool);
      if (still == listed.end() || !still->second.contains(version))
        left_at_[pool][version] = now;
    }
  }
  for (auto& [pool, versions] : left_at_)
    std::erase_if(versions, [now](const auto& left) {
      return now - left.second >= kReach;
    });
  listed_ = std::move(listed);
}

void PoolVersionHistory::RecordConfirmed(Instant time) {
  if (confirmed_at_ && time <= *confirmed_at_)
    return;
  if (confirmed_at_ && time - *confirmed_at_ > kMaxUnconfirmed)
    RecordGap(time);
  confirmed_at_ = time;
}

void PoolVersionHistory::RecordGap(Instant now) {
  complete_since_ = now;
}

std::set<SoftwareVersion> PoolVersionHistory::RecentVersions(
    const PoolId& pool,
    Instant now) const {
  std::set<SoftwareVersion> recent;
  if (const auto listed = listed_.find(pool); listed != listed_.end())
    recent = listed->second;
  if (const auto left = left_at_.find(pool); left != left_at_.end()) {
    for (const auto& [version, at] : left->second) {
      if (now - at < kReach)
        recent.insert(version);
    }
  }
  return recent;
}

bool PoolVersionHistory::HasSeveral(const PoolId& pool, Instant now) const {
  return RecentVersions(pool, now).size() > 1;
}

std::optional<SoftwareVersion> PoolVersionHistory::OnlyVersion(
    const PoolId& pool,
    Instant now) const {
  if (!IsCompleteSince(now - kReach))
    return std::nullopt;
  const std::set<SoftwareVersion> recent = RecentVersions(pool, now);
  if (recent.size() != 1)
    return std::nullopt;
  return *recent.begin();
}

}  // namespace bamboomount
