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

// Last sequence of the log, and the version of the head row, on which an append
// is conditional.
struct Head {
  ChangeSequence sequence;
  RowVersion row_version;
};

// Row keys. Numbers are zero-padded, so that keys sort in numeric order.
std::string ChangeKey(ChangeSequence sequence);
std::string ConfigKey(ConfigVersion version);

// Returns sequence 0 if the log is empty.
Result<Head> ReadHead(TableStore& table, Millis timeout);
// Fails with kNotFound for a sequence that the log does not have.
Result<Change> ReadChange(TableStore& table,
                          ChangeSequence sequence,
                          Millis timeout);

// Fails with kNotFound for a version that was not applied.
Result<ConfigVersionEntry> ReadConfigVersionEntry(TableStore& table,
                                                  ConfigVersion version,
                                                  Millis timeout);

// Builds the transaction that appends `change`. It commits only if the head is
// still `head`.
Transaction AppendTransaction(const Head& head, const Change& change);

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_LOG_ROWS_H_
