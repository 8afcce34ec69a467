#ifndef PROVIDER_HTTP_TABLE_STORE_H_
#define PROVIDER_HTTP_TABLE_STORE_H_

#include <string>
#include <utility>

#include "provider/table_store.h"

namespace bamboomount {

// Client of the platform's table service over HTTP and JSON. Every call opens
// its own connection. A call fails with verdict kNotRun if the connection could
// not be established or the platform refused the call. Thread-safe.
class HttpTableStore : public TableStore {
 public:
  // `address` is "ip:port".
  explicit HttpTableStore(std::string address) : address_(std::move(address)) {}

  Result<CommitOutcome> Commit(const Transaction& transaction,
                               Millis timeout) override;
  Result<std::optional<Row>> Read(const std::string& key,
                                  Millis timeout) override;
  Result<std::vector<Row>> Scan(const std::string& prefix,
                                Millis timeout) override;

 private:
  const std::string address_;
};

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_TABLE_STORE_H_
