#include "provider/table_store.h"

#include <utility>

namespace bamboomount {

Result<CommitOutcome> TableStore::Commit(const Transaction& transaction,
                                         Millis timeout) {
  BOOST_OUTCOME_TRY(response, CommitWithEra(transaction, timeout));
  return response.value;
}

Result<std::optional<Row>> TableStore::Read(const std::string& key,
                                            Millis timeout) {
  BOOST_OUTCOME_TRY(response, ReadWithEra(key, timeout));
  return std::move(response.value);
}

Result<std::vector<Row>> TableStore::Scan(const std::string& prefix,
                                          Millis timeout) {
  BOOST_OUTCOME_TRY(response, ScanWithEra(prefix, timeout));
  return std::move(response.value);
}

}  // namespace bamboomount
