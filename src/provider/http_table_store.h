#ifndef PROVIDER_HTTP_TABLE_STORE_H_
#define PROVIDER_HTTP_TABLE_STORE_H_

#include <string>
#include <utility>

#include "provider/table_store.h"

namespace bamboomount {

// Client of the platform's table service over HTTP and JSON. Every call opens
// its own connection. A call fails with verdict kNotRun if the connection could
// not be established or the platform refused the call. Responses state the era
// in the field Store-Era; era 0 if the field is absent. Thread-safe.
class HttpTableStore : public TableStore {
 public:
  // `address` is "ip:port".
  explicit HttpTableStore(std::string address) : address_(std::move(address)) {}

  Result<StoreResponse<CommitOutcome>> CommitWithEra(
      const Transaction& transaction,
      Millis timeout) override;
  Result<StoreResponse<std::optional<Row>>> ReadWithEra(
      const std::string& key,
      Millis timeout) override;
  Result<StoreResponse<std::vector<Row>>> ScanWithEra(const std::string& prefix,
                                                      Millis timeout) override;

 private:
  const std::string address_;
};

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_TABLE_STORE_H_
