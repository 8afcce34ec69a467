#ifndef GATEWAY_REPLICATION_REPLICA_STATUS_H_
#define GATEWAY_REPLICATION_REPLICA_STATUS_H_

#include <vector>

#include "gateway/control/async_table_store.h"

namespace bamboomount {

// How far an instance has replicated a table of the store.
struct ReplicaStatus {
  // The table has no change after this version, of the era of the position, up
  // to the position.
  RowVersion revision;
  // The instance has all changes up to this position. The store assigns one
  // version to each transaction across all tables, so it may be ahead of the
  // revision.
  TablePosition position;
  // Steady clock of the store at the last time for which the instance has all
  // changes.
  Millis confirmed{0};
  // Equal for tables of one era with equal keys and row versions.
  std::uint64_t digest = 0;
};

// Rows of a table, sent by a peer.
struct PeerRows {
  // True: `rows` is the whole table. False: the changes after the position in
  // the query.
  bool is_snapshot = false;
  std::vector<TableRow> rows;
  ReplicaStatus status;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_REPLICA_STATUS_H_
