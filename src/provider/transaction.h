#ifndef PROVIDER_TRANSACTION_H_
#define PROVIDER_TRANSACTION_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// Builder for an atomic change of the table. Nothing is written unless every
// condition holds. Not thread-safe.
class Transaction {
 public:
  struct Condition {
    std::string key;
    // 0 requires that the row does not exist.
    RowVersion version;
  };
  struct Write {
    std::string key;
    // If empty, the row is deleted.
    std::optional<std::string> value;
  };

  Transaction& Expect(std::string key, RowVersion version) {
    conditions_.push_back({std::move(key), version});
    return *this;
  }
  Transaction& ExpectAbsent(std::string key) {
    return Expect(std::move(key), RowVersion(0));
  }
  Transaction& Put(std::string key, std::string value) {
    writes_.push_back({std::move(key), std::move(value)});
    return *this;
  }
  Transaction& Delete(std::string key) {
    writes_.push_back({std::move(key), std::nullopt});
    return *this;
  }

  const std::vector<Condition>& conditions() const { return conditions_; }
  const std::vector<Write>& writes() const { return writes_; }

 private:
  std::vector<Condition> conditions_;
  std::vector<Write> writes_;
};

}  // namespace bamboomount

#endif  // PROVIDER_TRANSACTION_H_
