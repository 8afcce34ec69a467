#ifndef TESTS_ENTRY_FIXTURE_ENTRY_FLEET_H_
#define TESTS_ENTRY_FIXTURE_ENTRY_FLEET_H_

#include <atomic>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "entry_fixture/backend_standin.h"
#include "entry_fixture/store_standin.h"
#include "support/child_process.h"
#include "support/http_client.h"

namespace bamboomount::entry_test {

// A running process of the entry instance and its addresses, "ip:port".
class EntryInstance {
 public:
  // Starts the process and waits until it listens. `settings` override the
  // defaults. Throws std::runtime_error if the process ends at its start.
  EntryInstance(const std::string& name,
                const std::string& store_address,
                const std::filesystem::path& folder,
                const nlohmann::json& settings);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  const std::string& caller_address() const { return caller_address_; }
  const std::string& directory_address() const { return directory_address_; }
  support::ChildProcess& process() { return process_; }
  bool IsReady() const;
  // Throws std::runtime_error if the instance is not ready in time.
  void WaitUntilReady() const;
  // Log events that the process has written since its start. Thread-safe.
  std::vector<nlohmann::json> LogLines();

 private:
  void ReadLog();

  support::ChildProcess process_;
  std::string caller_address_;
  std::string readiness_address_;
  std::string directory_address_;
  std::mutex mutex_;
  std::vector<nlohmann::json> lines_;
  std::thread reader_;
};

// A configuration of the operator with the routes /lookup/, /book/, /talk/,
// /resume/ and /open/. `customers` is the value of its field "tenants".
nlohmann::json MakeConfig(int version, const nlohmann::json& customers);
// A route to the pool that MakeConfig() declares.
nlohmann::json MakeRoute(const std::string& prefix,
                         const std::string& kind,
                         bool resumable);

// The processes and stand-ins of one test; all end with the object.
class EntryFleet {
 public:
  EntryFleet();
  ~EntryFleet();
  EntryFleet(const EntryFleet&) = delete;
  EntryFleet& operator=(const EntryFleet&) = delete;

  StoreStandin& store() { return store_; }
  // Starts a backend server and registers it in the store.
  BackendStandin& AddBackend(const std::string& id,
                             const std::string& pool = "pool",
                             const std::string& version = "v1");
  EntryInstance& AddInstance(
      const std::string& name = "i-1",
      const nlohmann::json& settings = nlohmann::json::object());
  // Writes a configuration to the store.
  void Configure(int version, const nlohmann::json& customers);
  nlohmann::json DefaultCustomers() const;

 private:
  const std::filesystem::path folder_;
  StoreStandin store_;
  std::vector<std::unique_ptr<BackendStandin>> backends_;
  std::vector<std::unique_ptr<EntryInstance>> instances_;
};

// A request with a unique id, by default with the key of customer "mill".
support::ClientRequest MakeRequest(const std::string& method,
                                   const std::string& target,
                                   const std::string& key = "key-mill");
// Sends the request on a new connection and returns the reply.
support::ClientResponse Call(const EntryInstance& instance,
                             const support::ClientRequest& request);

}  // namespace bamboomount::entry_test

#endif  // TESTS_ENTRY_FIXTURE_ENTRY_FLEET_H_
