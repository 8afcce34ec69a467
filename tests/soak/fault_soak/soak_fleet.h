#ifndef TESTS_SOAK_FAULT_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_FAULT_SOAK_SOAK_FLEET_H_

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "soak/checks/observations.h"
#include "support/tcp_proxy.h"

namespace bamboomount::soak {

// A process that callers may connect to: the HOST:PORT of its caller listener
// and its name as in RequestRecord::process.
struct Endpoint {
  std::string address;
  std::string process;
};

// An API key and the customer it belongs to.
struct Credential {
  std::string customer;
  std::string key;
};

// A snapshot of what callers need to build requests.
struct CallerView {
  std::vector<Endpoint> endpoints;
  // The current keys, one for each customer.
  std::vector<Credential> keys;
  std::vector<Credential> withdrawn;
  // Newest version of the configuration that the store has accepted.
  int version = 0;
};

// One instance: its current process, which may be restarted, and its link to
// the store.
struct InstanceSlot {
  std::string name;
  std::unique_ptr<support::TcpProxy> store_link;
  // Null while no process runs.
  std::shared_ptr<entry_test::EntryInstance> instance;
  // Processes started so far.
  int start_count = 0;
  // When the current process got SIGTERM, if it did.
  std::optional<Time> shutdown_requested_at;

  // Name of the newest process, as in RequestRecord::process.
  std::string process() const {
    return name + "#" + std::to_string(start_count);
  }
};

// A stand-in of a backend server and the proxy that instances reach it by.
struct SoakBackend {
  std::unique_ptr<entry_test::BackendStandin> standin;
  std::unique_ptr<support::TcpProxy> link;
  // False once it is listed as draining or removed from the list.
  bool listed = true;
};

// The entry instances of a soak, which are processes of the real program, and
// the stand-ins of the store and of backend servers. Only View may be called
// from other threads than the owner's.
class SoakFleet {
 public:
  SoakFleet(int instances, int backends);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  CallerView View();
  entry_test::StoreStandin& store() { return store_; }
  std::vector<InstanceSlot>& slots() { return slots_; }
  std::vector<SoakBackend>& backends() { return backends_; }

  // Starts the next process in `slot`, and returns once it accepts callers.
  void StartInstance(InstanceSlot& slot);
  // Removes an ended process from its slot and keeps its log for WriteLogs.
  void RemoveInstance(InstanceSlot& slot);
  // Writes the next version of the configuration. With `rotate_key`, it
  // replaces one customer's key.
  void ChangeConfig(bool rotate_key);
  // Starts a backend server and lists it.
  void AddBackend();
  // Lists the backend server as draining if `announced`, or else removes it
  // from the list. It keeps running.
  void RetireBackend(SoakBackend& backend, bool announced);
  // Waits until every instance serves by the newest configuration. Returns the
  // processes that do not within WaitUntil's time limit.
  std::vector<std::string> AwaitRecovery();

  // Sets the key withdrawals, retirements, usage reports and arrivals at
  // backend servers, but for those of AwaitRecovery's requests.
  void CollectObservations(Observations& observations);
  // Writes one file of JSON lines for each process that was started, and
  // creates `folder` if needed.
  void WriteLogs(const std::filesystem::path& folder);

 private:
  std::string BackendRow(const SoakBackend& backend, bool draining) const;
  nlohmann::json Customers() const;
  bool ServesNewestConfig(const InstanceSlot& slot);

  const std::filesystem::path folder_;
  entry_test::StoreStandin store_;
  std::vector<InstanceSlot> slots_;
  std::vector<SoakBackend> backends_;
  std::vector<KeyWithdrawal> withdrawals_;
  std::vector<BackendRetirement> retirements_;
  std::map<std::string, std::vector<nlohmann::json>> logs_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  CallerView view_;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_FAULT_SOAK_SOAK_FLEET_H_
