#ifndef PROVIDER_HTTP_INSTANCE_DIRECTORY_H_
#define PROVIDER_HTTP_INSTANCE_DIRECTORY_H_

#include <string>
#include <utility>

#include "provider/instance_directory.h"

namespace bamboomount {

// Client of the platform's instance list over HTTP and JSON. Every call opens
// its own connection. A call fails with verdict kNotRun if the connection could
// not be established or the platform refused the call. Thread-safe.
class HttpInstanceDirectory : public InstanceDirectory {
 public:
  // `address` is "ip:port".
  explicit HttpInstanceDirectory(std::string address)
      : address_(std::move(address)) {}

  Result<DirectoryListing> List(Millis timeout) override;
  Result<void> Register(const ListedInstance& instance,
                        Millis timeout) override;

 private:
  const std::string address_;
};

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_INSTANCE_DIRECTORY_H_
