#ifndef GATEWAY_CONTROL_ASYNC_TABLE_STORE_H_
#define GATEWAY_CONTROL_ASYNC_TABLE_STORE_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "gateway/boot_clock.h"

namespace bamboomount {

// A row of the platform's table service.
struct TableRow {
  std::string table;
  std::string key;
  std::string value;
  RowVersion version;
  // Set only in changes: the row was deleted.
  bool deleted = false;
};

// A position in the changes of the store. Any position of a later era comes
// after those of an earlier one; versions of different eras can't be compared.
struct TablePosition {
  StoreEra era;
  RowVersion version;

  friend auto operator<=>(const TablePosition&, const TablePosition&) = default;
};

// Metadata of a response of the store.
struct StoreResponseInfo {
  // When the request was sent.
  Instant sent;
  // The store's monotonic clock when it produced the response.
  Millis store_time{0};
  // The response reflects all changes up to this version.
  RowVersion position;
  StoreEra era = StoreEra(0);

  TablePosition table_position() const { return {era, position}; }
};

struct RowsResponse {
  std::vector<TableRow> rows;
  StoreResponseInfo info;
};

struct CommitResponse {
  // False if a condition did not hold; nothing was written then.
  bool committed = false;
  // If not committed: the current rows that the conditions refer to.
  std::vector<TableRow> current;
  StoreResponseInfo info;
};

// An atomic set of conditions, writes and removals.
class StoreTransaction {
 public:
  struct Condition {
    std::string table;
    std::string key;
    // 0 requires that the row does not exist.
    RowVersion version;
  };
  struct RowKey {
    std::string table;
    std::string key;
  };

  StoreTransaction& Expect(std::string table,
                           std::string key,
                           RowVersion version) {
    conditions_.push_back({std::move(table), std::move(key), version});
    return *this;
  }
  StoreTransaction& Put(std::string table, std::string key, std::string value) {
    writes_.push_back(
        {std::move(table), std::move(key), std::move(value), {}, false});
    return *this;
  }
  StoreTransaction& Remove(std::string table, std::string key) {
    removals_.push_back({std::move(table), std::move(key)});
    return *this;
  }

  const std::vector<Condition>& conditions() const { return conditions_; }
  const std::vector<TableRow>& writes() const { return writes_; }
  const std::vector<RowKey>& removals() const { return removals_; }

 private:
  std::vector<Condition> conditions_;
  std::vector<TableRow> writes_;
  std::vector<RowKey> removals_;
};

// Non-blocking client of the platform's table service. Calls on one object are
// executed one after the other, and each of them ends with its callback. Errors
// have code kStoreUnavailable, or kHistoryLost if the store no longer has the
// requested changes. Verdict kMayHaveRun means that a transaction may have been
// committed or may still be.
class AsyncTableStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~AsyncTableStore() = default;

  // Reads a consistent snapshot of all rows of a table.
  virtual void ReadTable(const std::string& table,
                         Callback<RowsResponse> done) = 0;
  // Reads the changes of a table after `position`. If there are none, the store
  // responds after `wait`.
  virtual void ReadChanges(const std::string& table,
                           RowVersion position,
                           Millis wait,
                           Callback<RowsResponse> done) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<CommitResponse> done) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_ASYNC_TABLE_STORE_H_
