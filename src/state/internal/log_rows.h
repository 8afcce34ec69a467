#ifndef STATE_INTERNAL_LOG_ROWS_H_
#define STATE_INTERNAL_LOG_ROWS_H_

#include <string>

#include "base/base.h"
#include "provider/provider.h"
#include "state/change_log.h"

namespace bamboomount::internal {

inline constexpr char kHeadKey[] = "change/head";
inline constexpr char kConfigPrefix[] = "config/";
inline constexpr char kSnapshotObject[] = "state-snapshot";

// Position of the log and version of its row.
struct Head {
  ChangeSequence sequence;
  RowVersion row_version;
};

// Sequences and versions are padded, so that key order is number order.
std::string ChangeKey(ChangeSequence sequence);
std::string ConfigKey(ConfigVersion version);

Result<Head> ReadHead(TableStore& table, Millis timeout);
Result<Change> ReadChange(TableStore& table,
                          ChangeSequence sequence,
                          Millis timeout);

// Fails with kNotFound for a version that was not applied.
Result<ConfigVersionEntry> ReadConfigVersionEntry(TableStore& table,
                                                  ConfigVersion version,
                                                  Millis timeout);

// The transaction that appends `change` after `head`.
Transaction AppendTransaction(const Head& head, const Change& change);

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_LOG_ROWS_H_
