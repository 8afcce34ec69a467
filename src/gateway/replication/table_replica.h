#ifndef GATEWAY_REPLICATION_TABLE_REPLICA_H_
#define GATEWAY_REPLICATION_TABLE_REPLICA_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/replication/replica_status.h"

namespace bamboomount {

// An instance's copy of one table of the store, with the changes of the last
// while, so that other instances can be told what they missed.
class TableReplica {
 public:
  // Removed rows that are remembered; an instance that missed more of them is
  // told the whole table.
  static constexpr std::size_t kMaxTombstones = 1000;

  // The table has exactly these rows at `position`.
  void Reset(const std::vector<TableRow>& rows, RowVersion position);
  // Applies changes, of which all up to `position` are given, and returns those
  // that were not known.
  std::vector<TableRow> Apply(const std::vector<TableRow>& changes,
                              RowVersion position);
  // There are no changes after the known ones up to `position`.
  void AdvancePosition(RowVersion position);

  // False before the table was read.
  bool is_loaded() const { return is_loaded_; }
  // The table may have changed up to this version. After the whole table was
  // read that is its position: rows may have been removed until then.
  RowVersion revision() const;
  RowVersion position() const { return position_; }
  // Combines keys and versions of all rows.
  std::uint64_t digest() const { return digest_; }
  // Whether all is known that an instance at `status` knows.
  bool Covers(const ReplicaStatus& status) const {
    return is_loaded_ &&
           (status.revision <= position_ || status.digest == digest_);
  }

  std::vector<TableRow> Rows() const;
  // Changes after `position`, in order; empty if some are forgotten.
  std::optional<std::vector<TableRow>> ChangesSince(RowVersion position) const;

 private:
  void Put(const TableRow& row);
  void ToggleInDigest(const TableRow& row);
  void EvictOldTombstones();

  // Removed rows stay until they are forgotten.
  std::map<std::string, TableRow> rows_;
  std::set<std::pair<RowVersion, std::string>> by_version_;
  std::set<std::pair<RowVersion, std::string>> tombstones_;
  std::uint64_t digest_ = 0;
  RowVersion position_;
  // Removals up to this version may be forgotten.
  RowVersion history_start_;
  bool is_loaded_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_TABLE_REPLICA_H_
