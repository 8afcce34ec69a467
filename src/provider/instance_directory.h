#ifndef PROVIDER_INSTANCE_DIRECTORY_H_
#define PROVIDER_INSTANCE_DIRECTORY_H_

#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

enum class ListedState { kLive, kLeaving };

// An entry instance. Addresses have the form "ip:port".
struct ListedInstance {
  InstanceId instance;
  ZoneId zone;
  std::string address;
  std::string peer_address;
  std::string admin_address;
  ListedState state = ListedState::kLive;
};

struct ListedBackend {
  BackendId backend;
  ListedState state = ListedState::kLive;
};

struct DirectoryListing {
  std::vector<ListedInstance> instances;
  std::vector<ListedBackend> backends;
};

// The platform's list of live and leaving instances and backend servers. The
// list may be stale. Calls block for at most `timeout`. Thread-safe.
class InstanceDirectory {
 public:
  virtual ~InstanceDirectory() = default;

  virtual Result<DirectoryListing> List(Millis timeout) = 0;
  virtual Result<void> Register(const ListedInstance& instance,
                                Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_INSTANCE_DIRECTORY_H_
