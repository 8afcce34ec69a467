#include "gateway/replication/table_replica.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

namespace bamboomount {
namespace {

using Content = std::map<std::string, std::uint64_t>;

// A table of the store with its history of versions.
class VersionedTable {
 public:
  void Write(const std::string& key, bool removed) {
    ++version_;
    history_.push_back({"t", key, "", RowVersion(version_), removed});
  }
  // A transaction on another table.
  void AdvanceVersion() { ++version_; }

  RowVersion position() const { return RowVersion(version_); }
  // The last change of each key after `after`, as the store returns them.
  std::vector<TableRow> Changes(RowVersion after) const {
    std::map<std::string, TableRow> last;
    for (const TableRow& row : history_) {
      if (row.version > after)
        last.insert_or_assign(row.key, row);
    }
    std::vector<TableRow> changes;
    changes.reserve(last.size());
    for (const auto& [key, row] : last)
      changes.push_back(row);
    return changes;
  }
  std::vector<TableRow> Rows() const {
    std::vector<TableRow> rows;
    for (const TableRow& row : Changes(RowVersion())) {
      if (!row.deleted)
        rows.push_back(row);
    }
    return rows;
  }
  // The rows as of `position`.
  Content ContentAt(RowVersion position) const {
    Content content;
    for (const TableRow& row : history_) {
      if (row.version > position)
        break;
      if (row.deleted)
        content.erase(row.key);
      else
        content[row.key] = row.version.value();
    }
    return content;
  }

 private:
  std::vector<TableRow> history_;
  std::uint64_t version_ = 0;
};

Content ContentOf(const TableReplica& replica) {
  Content content;
  for (const TableRow& row : replica.Rows())
    content[row.key] = row.version.value();
  return content;
}

TableRow RowAt(const std::string& key, std::uint64_t version) {
  return {"t", key, "", RowVersion(version), false};
}

ReplicaStatus StatusOf(const TableReplica& replica) {
  return {replica.revision(), replica.position(), Millis(0), replica.digest()};
}

// Handles gossip from `source` at `target`, as TableFollower does.
void SyncPeer(const TableReplica& source, TableReplica& target) {
  if (!source.is_loaded() || !target.is_loaded())
    return;
  const ReplicaStatus status = StatusOf(source);
  if (target.Covers(status)) {
    target.AdvancePosition(status.position);
    return;
  }
  if (const auto changes = source.ChangesSince(target.position()))
    target.Apply(*changes, source.position());
  else if (source.position() >= target.position())
    target.Reset(source.Rows(), source.position());
}

BOOST_AUTO_TEST_SUITE(table_replica)

// Guards against a replica that misses a change, for example the removal of a
// backend server, when it gets its changes from peers instead of the store.
// Whatever mix of reads and peer updates it went through, its rows must be
// those of the store at its position.
RC_BOOST_PROP(rows_match_the_store_at_the_replica_position, ()) {
  constexpr int kReplicas = 3;
  constexpr std::size_t kSteps = 60;
  VersionedTable table;
  std::vector<TableReplica> replicas(kReplicas);
  const auto steps =
      *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
          kSteps,
          rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, kReplicas),
                         rc::gen::inRange(0, kReplicas)));
  for (const auto& [action, one, other] : steps) {
    TableReplica& replica = replicas[static_cast<std::size_t>(one)];
    switch (action) {
      case 0:
        table.Write("k" + std::to_string(other), false);
        break;
      case 1:
        table.Write("k" + std::to_string(other), true);
        break;
      case 2:
        table.AdvanceVersion();
        break;
      case 3:
        replica.Reset(table.Rows(), table.position());
        break;
      case 4:
        if (replica.is_loaded())
          replica.Apply(table.Changes(replica.position()), table.position());
        break;
      default:
        SyncPeer(replica, replicas[static_cast<std::size_t>(other)]);
    }
    for (const TableReplica& checked : replicas) {
      if (checked.is_loaded())
        RC_ASSERT(ContentOf(checked) == table.ContentAt(checked.position()));
    }
  }
}

// Guards against duplicate notifications: the store and a peer may both deliver
// the same change, which would then be logged and would trigger the observers
// twice.
BOOST_AUTO_TEST_CASE(a_change_is_reported_once) {
  VersionedTable table;
  table.Write("a", false);
  TableReplica replica;
  replica.Reset(table.Rows(), table.position());
  table.Write("b", false);
  const auto changes = table.Changes(replica.position());
  BOOST_TEST(replica.Apply(changes, table.position()).size() == 1U);
  BOOST_TEST(replica.Apply(changes, table.position()).empty());
}

// Guards against memory that grows with each server that was ever removed, and
// against a peer that misses removals because it was disconnected
// while their tombstones were evicted.
BOOST_AUTO_TEST_CASE(evicted_tombstones_leave_no_gap_in_changes) {
  VersionedTable table;
  TableReplica replica;
  replica.Reset({}, table.position());
  const RowVersion start = replica.position();
  for (std::size_t i = 0; i < TableReplica::kMaxTombstones + 10; ++i)
    table.Write("k" + std::to_string(i), true);
  replica.Apply(table.Changes(start), table.position());
  BOOST_TEST(!replica.ChangesSince(start).has_value());
  BOOST_TEST(replica.ChangesSince(RowVersion(500))->size() ==
             TableReplica::kMaxTombstones + 10 - 500);
}

// Guards against digest collisions of similar rows: the hashes of "i-2" at
// version 5 and "i-3" at version 6 cancelled each other, so that an instance
// without these two rows took its replica for complete and never fetched them.
BOOST_AUTO_TEST_CASE(similar_rows_do_not_cancel_in_the_digest) {
  constexpr std::uint64_t kVersions = 40;
  for (std::uint64_t first = 1; first <= kVersions; ++first) {
    for (std::uint64_t second = 1; second <= kVersions; ++second) {
      TableReplica replica;
      replica.Reset({RowAt("i-2", first), RowAt("i-3", second)},
                    RowVersion(kVersions));
      BOOST_TEST(replica.digest() != 0U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
