#ifndef GATEWAY_REPLICATION_TABLE_REPLICA_H_
#define GATEWAY_REPLICATION_TABLE_REPLICA_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/replication/table_news.h"

namespace bamboomount {

// An instance's copy of one table of the store, with the changes of the last
// while, so that other instances can be told what they missed.
class TableReplica {
 public:
  // Removed rows that are remembered; an instance that missed more of them is
  // told the whole table.
  static constexpr std::size_t kMaxRemovals = 1000;

  // The table has exactly these rows at `position`.
  void Reset(const std::vector<TableRow>& rows, RowVersion position);
  // Applies changes, of which all up to `position` are given, and returns those
  // that were not known.
  std::vector<TableRow> Apply(const std::vector<TableRow>& changes,
                              RowVersion position);
  // There are no changes after the known ones up to `position`.
  void NoteUnchanged(RowVersion position);

  // False before the table was read.
  bool known() const { return known_; }
  // The table may have changed up to this version. After the whole table was
  // read that is its position: rows may have been removed until then.
  RowVersion revision() const;
  RowVersion position() const { return position_; }
  // Combines keys and versions of all rows.
  std::uint64_t digest() const { return digest_; }
  // Whether all is known that an instance at `news` knows.
  bool Covers(const TableNews& news) const {
    return known_ && (news.revision <= position_ || news.digest == digest_);
  }

  std::vector<TableRow> Rows() const;
  // Changes after `position`, in order; empty if some are forgotten.
  std::optional<std::vector<TableRow>> ChangesSince(RowVersion position) const;

 private:
  void Put(const TableRow& row);
  void Toggle(const TableRow& row);
  void ForgetOldRemovals();

  // Removed rows stay until they are forgotten.
  std::map<std::string, TableRow> rows_;
  std::set<std::pair<RowVersion, std::string>> by_version_;
  std::set<std::pair<RowVersion, std::string>> removals_;
  std::uint64_t digest_ = 0;
  RowVersion position_;
  // Removals up to this version may be forgotten.
  RowVersion complete_after_;
  bool known_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_TABLE_REPLICA_H_
