#include "gateway/streams/pool_version_history.h"

#include <utility>

#include "gateway/streams/stream_origin_table.h"

namespace bamboomount {

void PoolVersionHistory::SetListed(ListedVersions listed, Instant now) {
  for (const auto& [pool, versions] : listed_) {
    for (const SoftwareVersion& version : versions) {
      const auto still = listed.find(pool);
      if (still == listed.end() || !still->second.contains(version))
        left_at_[pool][version] = now;
    }
  }
  listed_ = std::move(listed);
}

void PoolVersionHistory::RecordGap(Instant now) {
  complete_since_ = now;
}

std::optional<SoftwareVersion> PoolVersionHistory::OnlyVersion(
    const PoolId& pool,
    Instant now) const {
  constexpr Millis kReach = StreamOriginTable::kStreamLifetime;
  if (!complete_since_ || now - *complete_since_ < kReach)
    return std::nullopt;
  std::set<SoftwareVersion> recent;
  if (const auto listed = listed_.find(pool); listed != listed_.end())
    recent = listed->second;
  if (const auto left = left_at_.find(pool); left != left_at_.end()) {
    for (const auto& [version, at] : left->second) {
      if (now - at < kReach)
        recent.insert(version);
    }
  }
  if (recent.size() != 1)
    return std::nullopt;
  return *recent.begin();
}

}  // namespace bamboomount
