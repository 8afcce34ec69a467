#ifndef GATEWAY_REPLICATION_REPLICA_STATUS_H_
#define GATEWAY_REPLICATION_REPLICA_STATUS_H_

#include <vector>

#include "gateway/control/async_table_store.h"

namespace bamboomount {

// How much an instance knows of a table of the store.
struct ReplicaStatus {
  // Version of the newest change that it knows.
  RowVersion revision;
  // It knows all changes up to this version; the store gives one version to
  // each transaction, whatever table it concerns.
  RowVersion position;
  // The store's steady clock at the last moment for which it knows all changes.
  Millis confirmed{0};
  // Equal for equal rows.
  std::uint64_t digest = 0;
};

// Rows of a table as another instance knows them.
struct PeerRows {
  // All rows of the table, instead of the changes after the version asked for.
  bool is_snapshot = false;
  std::vector<TableRow> rows;
  ReplicaStatus status;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_REPLICA_STATUS_H_
