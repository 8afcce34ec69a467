#ifndef PROVIDER_HTTP_TABLE_STORE_H_
#define PROVIDER_HTTP_TABLE_STORE_H_

#include <string>
#include <utility>

#include "provider/table_store.h"

namespace bamboomount {

// The platform's table service over HTTP and JSON. Every call uses a
// connection of its own. A call that fails before its connection is
// established, or that the platform refuses, has verdict kNotRun.
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
