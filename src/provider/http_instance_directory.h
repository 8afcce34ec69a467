#ifndef PROVIDER_HTTP_INSTANCE_DIRECTORY_H_
#define PROVIDER_HTTP_INSTANCE_DIRECTORY_H_

#include <string>
#include <utility>

#include "provider/instance_directory.h"

namespace bamboomount {

// The platform's instance list over HTTP and JSON. Every call uses a
// connection of its own. A call that fails before its connection is
// established, or that the platform refuses, has verdict kNotRun.
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
