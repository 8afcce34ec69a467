#ifndef TESTS_ADMIN_FAKE_FLEET_OPERATIONS_H_
#define TESTS_ADMIN_FAKE_FLEET_OPERATIONS_H_

#include <memory>
#include <string>

#include "admin/admin.h"
#include "state/log_fixture.h"

namespace bamboomount {

// One instance: the real change operations over stores that a test shares
// between instances.
class FakeFleetOperations : public FleetOperations {
 public:
  FakeFleetOperations(std::string name,
                      LogFixture& stores,
                      Millis poll_interval = Millis(1000));

  FleetStatus Status() override;
  InstanceStatus Position() override { return SelfStatus(); }
  HealthStatus Health() override { return {healthy, "test"}; }
  std::string MetricsText() override { return "up 1\n"; }
  Result<ConfigReply> Config(std::optional<ConfigVersion> version,
                             Millis timeout) override {
    return changes.Config(version, timeout);
  }
  Result<std::vector<ConfigVersionEntry>> ConfigHistory(
      Millis timeout) override {
    return changes.ConfigHistory(timeout);
  }
  Result<ChangeReply> ApplyConfig(const ApplyConfigRequest& request,
                                  Millis timeout) override {
    return changes.ApplyConfig(request, timeout);
  }
  KeyListing Keys() override { return changes.Keys(); }
  Result<ChangeReply> GrantKey(const GrantKeyRequest& request,
                               Millis timeout) override {
    return changes.GrantKey(request, timeout);
  }
  Result<WithdrawKeyReply> WithdrawKey(const WithdrawKeyRequest& request,
                                       Millis timeout) override {
    return changes.WithdrawKey(request, timeout);
  }
  Result<ChangeReply> DrainInstance(const DrainRequest& request,
                                    Millis timeout) override {
    return changes.DrainInstance(request, timeout);
  }
  std::vector<Span> Trace(const std::string& trace_id) override;
  Result<std::vector<UsageLine>> Usage(int windows, Millis timeout) override;

  InstanceStatus SelfStatus() const;

  const std::string name;
  bool healthy = true;
  // Addresses of the operators' interfaces of all instances, own first.
  std::vector<InstanceStatus> other_instances;
  std::string admin_address;
  std::vector<Change> pushed_changes;
  WithdrawalPropagation propagation;
  ChangeLog log;
  ControlStateHolder holder;
  StateFollower follower;
  ChangeOperations changes;
};

// Starts a server on a free port of a range that the tests reserve, and sets
// the address of `operations`.
std::unique_ptr<AdminServer> ServeOnFreePort(FakeFleetOperations& operations,
                                             const std::string& token);

}  // namespace bamboomount

#endif  // TESTS_ADMIN_FAKE_FLEET_OPERATIONS_H_
