#include "gateway/replication/table_replica.h"

#include <algorithm>
#include <string>

#include "base/stable_hash.h"

namespace bamboomount {

void TableReplica::Reset(const std::vector<TableRow>& rows,
                         const TablePosition& position) {
  rows_.clear();
  by_version_.clear();
  tombstones_.clear();
  digest_ = 0;
  for (const TableRow& row : rows)
    Put(row);
  position_ = position;
  history_start_ = position.version;
  is_loaded_ = true;
}

std::vector<TableRow> TableReplica::Apply(const std::vector<TableRow>& changes,
                                          RowVersion version) {
  std::vector<TableRow> applied;
  for (const TableRow& row : changes) {
    // Changes up to the current position have been applied before.
    if (row.version <= position_.version)
      continue;
    Put(row);
    applied.push_back(row);
  }
  AdvancePosition(version);
  EvictOldTombstones();
  return applied;
}

bool TableReplica::AdvanceTo(const ReplicaStatus& status) {
  if (!is_loaded_ || status.position.era != position_.era)
    return false;
  const bool has_newest_change = status.revision <= position_.version;
  if (!has_newest_change && status.digest != digest_)
    return false;
  // Equal rows do not show which of them were added and removed in between, so
  // the changes since this position cannot be given to a peer.
  if (!has_newest_change)
    history_start_ = std::max(history_start_, status.revision);
  AdvancePosition(status.position.version);
  return true;
}

void TableReplica::AdvancePosition(RowVersion version) {
  position_.version = std::max(position_.version, version);
}

RowVersion TableReplica::revision() const {
  return by_version_.empty()
             ? history_start_
             : std::max(history_start_, by_version_.rbegin()->first);
}

std::vector<TableRow> TableReplica::Rows() const {
  std::vector<TableRow> rows;
  for (const auto& [key, row] : rows_) {
    if (!row.deleted)
      rows.push_back(row);
  }
  return rows;
}

std::optional<std::vector<TableRow>> TableReplica::ChangesSince(
    const TablePosition& position) const {
  if (!is_loaded_ || position.era != position_.era ||
      position.version < history_start_)
    return std::nullopt;
  std::vector<TableRow> changes;
  const auto first = by_version_.lower_bound(
      {position.version + RowVersion(1), std::string()});
  for (auto item = first; item != by_version_.end(); ++item)
    changes.push_back(rows_.at(item->second));
  return changes;
}

void TableReplica::Put(const TableRow& row) {
  const auto previous = rows_.find(row.key);
  if (previous != rows_.end()) {
    by_version_.erase({previous->second.version, row.key});
    tombstones_.erase({previous->second.version, row.key});
    ToggleInDigest(previous->second);
  }
  ToggleInDigest(row);
  rows_.insert_or_assign(row.key, row);
  by_version_.emplace(row.version, row.key);
  if (row.deleted)
    tombstones_.emplace(row.version, row.key);
}

// The version is part of the hashed text: as the seed of the hash it let the
// hashes of short, similar keys cancel each other.
void TableReplica::ToggleInDigest(const TableRow& row) {
  if (!row.deleted)
    digest_ ^= StableHash(row.key + "/" + std::to_string(row.version.value()));
}

void TableReplica::EvictOldTombstones() {
  while (tombstones_.size() > kMaxTombstones) {
    const auto oldest = *tombstones_.begin();
    history_start_ = std::max(history_start_, oldest.first);
    by_version_.erase(oldest);
    rows_.erase(oldest.second);
    tombstones_.erase(tombstones_.begin());
  }
}

}  // namespace bamboomount
