#ifndef PROVIDER_HTTP_OBJECT_STORE_H_
#define PROVIDER_HTTP_OBJECT_STORE_H_

#include <string>
#include <utility>

#include "provider/object_store.h"

namespace bamboomount {

// Client of the platform's object store over HTTP. Every call opens its own
// connection. A call fails with verdict kNotRun if the connection could not be
// established or the platform refused the call. Thread-safe.
class HttpObjectStore : public ObjectStore {
 public:
  // `address` is "ip:port".
  explicit HttpObjectStore(std::string address)
      : address_(std::move(address)) {}

  Result<void> Put(const std::string& name,
                   const std::string& content,
                   Millis timeout) override;
  Result<std::optional<std::string>> Get(const std::string& name,
                                         Millis timeout) override;

 private:
  const std::string address_;
};

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_OBJECT_STORE_H_
