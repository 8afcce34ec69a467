#include "gateway/replication/table_replica.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "gateway/versioned_table.h"

namespace bamboomount {
namespace {

TableContent ContentOf(const TableReplica& replica) {
  TableContent content;
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
  if (source.position().era < target.position().era ||
      target.AdvanceTo(StatusOf(source)))
    return;
  if (const auto changes = source.ChangesSince(target.position()))
    target.Apply(*changes, source.position().version);
  else if (source.position() >= target.position())
    target.Reset(source.Rows(), source.position());
}

BOOST_AUTO_TEST_SUITE(table_replica)

// Guards against a replica that misses a change, for example the removal of a
// backend server, when it gets its changes from peers instead of the store.
// Whatever mix of reads, peer updates and restores of the store it went
// through, its rows must be those of the store at its position.
RC_BOOST_PROP(rows_match_the_store_at_the_replica_position, ()) {
  constexpr int kReplicas = 3;
  constexpr std::size_t kSteps = 60;
  VersionedTable table;
  std::vector<TableReplica> replicas(kReplicas);
  const auto steps =
      *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
          kSteps,
          rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, kReplicas),
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
        if (replica.is_loaded() &&
            replica.position().era == table.position().era)
          replica.Apply(table.Changes(replica.position().version),
                        table.position().version);
        break;
      case 5:
        table.TakeCopy();
        break;
      case 6:
        table.RestoreCopy();
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
  const auto changes = table.Changes(replica.position().version);
  const RowVersion version = table.position().version;
  BOOST_TEST(replica.Apply(changes, version).size() == 1U);
  BOOST_TEST(replica.Apply(changes, version).empty());
}

// Guards against memory that grows with each server that was ever removed, and
// against a peer that misses removals because it was disconnected
// while their tombstones were evicted.
BOOST_AUTO_TEST_CASE(evicted_tombstones_leave_no_gap_in_changes) {
  VersionedTable table;
  TableReplica replica;
  replica.Reset({}, table.position());
  const TablePosition start = replica.position();
  for (std::size_t i = 0; i < TableReplica::kMaxTombstones + 10; ++i)
    table.Write("k" + std::to_string(i), true);
  replica.Apply(table.Changes(start.version), table.position().version);
  BOOST_TEST(!replica.ChangesSince(start).has_value());
  BOOST_TEST(replica.ChangesSince({start.era, RowVersion(500)})->size() ==
             TableReplica::kMaxTombstones + 10 - 500);
}

// Guards against a replica that reports itself complete by a digest: it missed
// that a row came and went, and a peer that missed only the removal believed
// that nothing had changed.
BOOST_AUTO_TEST_CASE(equal_digests_do_not_hide_a_removal_from_others) {
  VersionedTable table;
  table.Write("a", false);
  TableReplica current;
  TableReplica missed_both;
  TableReplica missed_removal;
  for (TableReplica* replica : {&current, &missed_both, &missed_removal})
    replica->Reset(table.Rows(), table.position());
  table.Write("b", false);
  missed_removal.Apply(table.Changes(missed_removal.position().version),
                       table.position().version);
  table.Write("b", true);
  current.Apply(table.Changes(current.position().version),
                table.position().version);
  SyncPeer(current, missed_both);
  BOOST_TEST((missed_both.position() == table.position()));
  SyncPeer(missed_both, missed_removal);
  BOOST_TEST((ContentOf(missed_removal) ==
              table.ContentAt(missed_removal.position())));
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
                    {StoreEra(0), RowVersion(kVersions)});
      BOOST_TEST(replica.digest() != 0U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
