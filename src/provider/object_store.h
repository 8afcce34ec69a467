#ifndef PROVIDER_OBJECT_STORE_H_
#define PROVIDER_OBJECT_STORE_H_

#include <optional>
#include <string>

#include "base/base.h"

namespace bamboomount {

// The platform's object store. Calls block for at most `timeout`. Errors have
// code kStoreUnavailable. Thread-safe.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual Result<void> Put(const std::string& name,
                           const std::string& content,
                           Millis timeout) = 0;
  virtual Result<std::optional<std::string>> Get(const std::string& name,
                                                 Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_OBJECT_STORE_H_
