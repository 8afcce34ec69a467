#include "gateway/replication/table_replica.h"

#include <algorithm>
#include <string>

#include "base/stable_hash.h"

namespace bamboomount {

void TableReplica::Reset(const std::vector<TableRow>& rows,
                         RowVersion position) {
  rows_.clear();
  by_version_.clear();
  removals_.clear();
  digest_ = 0;
  for (const TableRow& row : rows)
    Put(row);
  position_ = position;
  complete_after_ = position;
  known_ = true;
}

std::vector<TableRow> TableReplica::Apply(const std::vector<TableRow>& changes,
                                          RowVersion position) {
  std::vector<TableRow> fresh;
  for (const TableRow& row : changes) {
    // Changes up to the known position were told before.
    if (row.version <= position_)
      continue;
    Put(row);
    fresh.push_back(row);
  }
  NoteUnchanged(position);
  ForgetOldRemovals();
  return fresh;
}

void TableReplica::NoteUnchanged(RowVersion position) {
  position_ = std::max(position_, position);
}

RowVersion TableReplica::revision() const {
  return by_version_.empty()
             ? complete_after_
             : std::max(complete_after_, by_version_.rbegin()->first);
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
    RowVersion position) const {
  if (!known_ || position < complete_after_)
    return std::nullopt;
  std::vector<TableRow> changes;
  const auto first =
      by_version_.lower_bound({position + RowVersion(1), std::string()});
  for (auto item = first; item != by_version_.end(); ++item)
    changes.push_back(rows_.at(item->second));
  return changes;
}

void TableReplica::Put(const TableRow& row) {
  const auto known = rows_.find(row.key);
  if (known != rows_.end()) {
    by_version_.erase({known->second.version, row.key});
    removals_.erase({known->second.version, row.key});
    Toggle(known->second);
  }
  Toggle(row);
  rows_.insert_or_assign(row.key, row);
  by_version_.emplace(row.version, row.key);
  if (row.deleted)
    removals_.emplace(row.version, row.key);
}

// Adds a row to the digest, or takes it out of it. The version is part of the
// hashed text: as the hash's seed, it cancels small differences of short keys.
void TableReplica::Toggle(const TableRow& row) {
  if (!row.deleted)
    digest_ ^= StableHash(row.key + "/" + std::to_string(row.version.value()));
}

void TableReplica::ForgetOldRemovals() {
  while (removals_.size() > kMaxRemovals) {
    const auto oldest = *removals_.begin();
    complete_after_ = std::max(complete_after_, oldest.first);
    by_version_.erase(oldest);
    rows_.erase(oldest.second);
    removals_.erase(removals_.begin());
  }
}

}  // namespace bamboomount
