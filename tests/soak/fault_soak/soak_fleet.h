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

// A process that callers may connect to.
struct Endpoint {
  std::string address;
  std::string process;
};

// A key and the customer it belongs to.
struct Credential {
  std::string customer;
  std::string key;
};

// What callers may know.
struct CallerView {
  std::vector<Endpoint> endpoints;
  std::vector<Credential> keys;
  std::vector<Credential> withdrawn;
  int version = 0;
};

// One place for an instance: the process that runs there and its link to the
// store.
struct InstanceSlot {
  std::string name;
  std::unique_ptr<support::TcpProxy> store_link;
  // Null while it is off.
  std::shared_ptr<entry_test::EntryInstance> instance;
  int start_count = 0;
  // When it was asked to stop, if it was.
  std::optional<Time> shutdown_requested_at;

  std::string process() const {
    return name + "#" + std::to_string(start_count);
  }
};

// A backend server and the link to it.
struct SoakBackend {
  std::unique_ptr<entry_test::BackendStandin> standin;
  std::unique_ptr<support::TcpProxy> link;
  bool listed = true;
};

// The real programs and stand-ins of a soak. Only View may be called from other
// threads.
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

  void StartInstance(InstanceSlot& slot);
  // Takes an ended process out of its slot and keeps its log.
  void RemoveInstance(InstanceSlot& slot);
  // Writes the next version of the configuration; `rotate_key` replaces a key.
  void ChangeConfig(bool rotate_key);
  void AddBackend();
  // Lists the server as draining, or removes it from the list.
  void RetireBackend(SoakBackend& backend, bool announced);
  // Waits until every instance serves with the newest configuration. Returns
  // the names of those that do not.
  std::vector<std::string> AwaitRecovery();

  // Adds what backend servers, store and operator saw.
  void CollectObservations(Observations& observations);
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
