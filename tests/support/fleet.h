#ifndef SUPPORT_FLEET_H_
#define SUPPORT_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "provider/provider.h"
#include "state/state.h"
#include "support/backend_process.h"
#include "support/child_process.h"

namespace bamboomount::support {

// Numbers and settings of the processes that a Fleet starts.
struct FleetOptions {
  // Folder with the programs of the build.
  std::string programs;
  int engines = 2;
  int services = 2;
  int instances = 1;
  // Whether each instance also runs a controller.
  bool controllers = false;
  // Maximum number of concurrent requests per backend server.
  int slots = 8;
  std::vector<std::string> engine_arguments = {"--pace", "200"};
  // Versions of single engines, by index; further engines have the default one.
  std::vector<std::string> engine_versions = {};
  std::string admin_token = "operator-token-for-tests";
  std::string backend_credential = "credential-for-backend-servers";
};

// One instance of the system, with its settings file.
struct FleetInstance {
  std::string name;
  // Addresses are "ip:port".
  std::string address;
  std::string peer_address;
  std::string admin_address;
  std::string settings_path;
  std::unique_ptr<ChildProcess> router;
  // Null if FleetOptions::controllers is false.
  std::unique_ptr<ChildProcess> controller;
};

// A platform, backend servers and instances, each a child process that is
// killed with this object. When the constructor returns, all instances apply
// the same configuration, accept key() and answer operators. Functions throw
// std::runtime_error on failure.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Paths of the service routes in the configuration.
  static constexpr const char* kOpenLookup = "/v1/certificates";
  static constexpr const char* kKeyedLookup = "/v1/orders";
  static constexpr const char* kRegistration = "/v1/registrations";

  // API key of the customer "kennel".
  const std::string& key() const { return key_; }
  const std::string& platform_address() const { return platform_address_; }
  ChildProcess& platform() { return platform_; }
  BackendProcess& engine(std::size_t index) { return *engines_.at(index); }
  BackendProcess& service(std::size_t index) { return *services_.at(index); }
  FleetInstance& instance(std::size_t index) { return instances_.at(index); }
  std::size_t instance_count() const { return instances_.size(); }

  // Returns the text of a service.jsonc that lists all backend servers. A test
  // varies `queue_limit` to get another configuration.
  std::string ConfigText(int queue_limit) const;
  // Appends to the change log directly, without the admin interface.
  void Append(ChangeBody body);
  // Sends `json` to POST /faults of the platform.
  void SetPlatformFaults(const std::string& json);

  // Starts the router process. A previous one that still runs is killed after
  // the new one has been started.
  void StartRouter(FleetInstance& instance);
  void StartController(FleetInstance& instance);
  // Waits until the router of `instance` accepts `key`, lists the model and
  // answers operators.
  void WaitUntilServing(const FleetInstance& instance, const std::string& key);

  // Returns the requests that all standin_service processes executed.
  std::vector<nlohmann::json> ExecutedRequests();
  // Returns the ids of all processes that are running.
  std::vector<int> RunningProcesses();

 private:
  void StartBackends();
  void WriteSettings(FleetInstance& instance);

  const FleetOptions options_;
  std::string folder_;
  ChildProcess platform_;
  std::string platform_address_;
  std::vector<std::unique_ptr<BackendProcess>> engines_;
  std::vector<std::unique_ptr<BackendProcess>> services_;
  std::vector<FleetInstance> instances_;
  std::string key_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_FLEET_H_
