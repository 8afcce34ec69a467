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

// In-memory replica of one table of the store. Keeps recent removals as
// tombstones, so that peers can be sent the changes that they lack. Not
// thread-safe.
class TableReplica {
 public:
  // Maximum number of tombstones. A peer that lacks older removals gets the
  // whole table.
  static constexpr std::size_t kMaxTombstones = 1000;

  // Replaces all rows by those of the table at `position`.
  void Reset(const std::vector<TableRow>& rows, const TablePosition& position);
  // Applies changes of the replica's era, which must be complete up to
  // `version`, and returns those that are new here.
  std::vector<TableRow> Apply(const std::vector<TableRow>& changes,
                              RowVersion version);
  // Advances to the position of an instance with `status` if that proves that
  // this replica has the same rows: both are of one era, and the replica has
  // the newest change to them, or rows of equal digest. Returns false if
  // changes may be missing.
  bool AdvanceTo(const ReplicaStatus& status);

  // False before the first Reset().
  bool is_loaded() const { return is_loaded_; }
  // No change up to the position is newer than this. The version of the last
  // known change, or a later one up to which removals may be missing.
  RowVersion revision() const;
  const TablePosition& position() const { return position_; }
  // Digest of the keys and versions of all rows. Does not depend on their
  // order.
  std::uint64_t digest() const { return digest_; }
  std::vector<TableRow> Rows() const;
  // Changes after `position` by ascending version, removals included; empty if
  // it is of another era, some removals since then are no longer kept, or
  // nothing is loaded.
  std::optional<std::vector<TableRow>> ChangesSince(
      const TablePosition& position) const;

 private:
  // Never moves the position back.
  void AdvancePosition(RowVersion version);
  void Put(const TableRow& row);
  // Adds the row to the digest, or removes it if it is included.
  void ToggleInDigest(const TableRow& row);
  void EvictOldTombstones();

  // Includes tombstones.
  std::map<std::string, TableRow> rows_;
  std::set<std::pair<RowVersion, std::string>> by_version_;
  std::set<std::pair<RowVersion, std::string>> tombstones_;
  std::uint64_t digest_ = 0;
  TablePosition position_;
  // Removals up to this version may be missing.
  RowVersion history_start_;
  bool is_loaded_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_TABLE_REPLICA_H_
