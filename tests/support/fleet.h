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

struct FleetOptions {
  // Folder of the programs.
  std::string programs;
  int engines = 2;
  int services = 2;
  int instances = 1;
  // Whether each instance also runs a controller.
  bool controllers = false;
  // Requests that a backend server runs at the same time.
  int slots = 8;
  std::vector<std::string> engine_arguments = {"--pace", "200"};
  std::string admin_token = "operator-token-for-tests";
  std::string backend_credential = "credential-for-backend-servers";
};

// One instance of the system, with its settings file.
struct FleetInstance {
  std::string name;
  std::string address;
  std::string peer_address;
  std::string admin_address;
  std::string settings_path;
  std::unique_ptr<ChildProcess> router;
  std::unique_ptr<ChildProcess> controller;
};

// A platform, backend servers and instances, all as processes that end with
// this object. One configuration and one key are in force when the constructor
// returns. Failures throw std::runtime_error.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Routes of the configuration.
  static constexpr const char* kOpenLookup = "/v1/certificates";
  static constexpr const char* kKeyedLookup = "/v1/orders";
  static constexpr const char* kRegistration = "/v1/registrations";

  const std::string& key() const { return key_; }
  const std::string& platform_address() const { return platform_address_; }
  ChildProcess& platform() { return platform_; }
  BackendProcess& engine(std::size_t index) { return *engines_.at(index); }
  BackendProcess& service(std::size_t index) { return *services_.at(index); }
  FleetInstance& instance(std::size_t index) { return instances_.at(index); }
  std::size_t instance_count() const { return instances_.size(); }

  // Text of service.jsonc with all backend servers. `queue_limit` makes texts
  // differ.
  std::string ConfigText(int queue_limit) const;
  // Appends to the change log, past the admin interface.
  void Append(ChangeBody body);
  // Sets the fault switches of the platform.
  void SetPlatformFaults(const std::string& json);

  void StartRouter(FleetInstance& instance);
  void StartController(FleetInstance& instance);
  // Waits until the router of `instance` serves `key`.
  void WaitUntilServing(const FleetInstance& instance, const std::string& key);

  // Requests that all plain services executed.
  std::vector<nlohmann::json> ExecutedRequests();
  // The process ids of all processes that are running.
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
