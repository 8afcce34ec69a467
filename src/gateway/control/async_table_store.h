#ifndef GATEWAY_CONTROL_ASYNC_TABLE_STORE_H_
#define GATEWAY_CONTROL_ASYNC_TABLE_STORE_H_

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
  // Only in changes: the row was removed.
  bool deleted = false;
};

// What each response of the store tells beside its rows.
struct StoreResponseInfo {
  // When the call was sent.
  Instant sent;
  // The store's steady clock when it made the response.
  Millis store_time{0};
  // All changes up to this version are covered.
  RowVersion position;
};

struct RowsResponse {
  std::vector<TableRow> rows;
  StoreResponseInfo info;
};

struct CommitResponse {
  // False: a condition did not hold and nothing was written.
  bool committed = false;
  // Not committed: the rows of the conditions as they are.
  std::vector<TableRow> current;
  StoreResponseInfo info;
};

// A change of rows, all or none, under conditions.
class StoreTransaction {
 public:
  struct Condition {
    std::string table;
    std::string key;
    // 0 requires that the row is missing.
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

// The platform's table service, called without blocking. Calls of one object
// run one after the other. Every call ends with its callback: an error has code
// kStoreUnavailable, or kHistoryLost where changes are no longer to be had;
// verdict kMayHaveRun means that a change may have been made or may be made
// later.
class AsyncTableStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~AsyncTableStore() = default;

  // All rows of a table as of one moment.
  virtual void ReadTable(const std::string& table,
                         Callback<RowsResponse> done) = 0;
  // Changes of a table after `position`; answers after `wait` if there are
  // none.
  virtual void ReadChanges(const std::string& table,
                           RowVersion position,
                           Millis wait,
                           Callback<RowsResponse> done) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<CommitResponse> done) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_ASYNC_TABLE_STORE_H_
