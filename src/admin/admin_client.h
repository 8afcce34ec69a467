#ifndef ADMIN_ADMIN_CLIENT_H_
#define ADMIN_ADMIN_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "admin/operator_messages.h"
#include "base/base.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

// Client of the operators' interface of one instance. Calls fail with
// kNoBackend if the instance cannot be reached or the address is invalid
// (verdict kNotRun), or if no whole response arrives in time (verdict
// kMayHaveRun), and with kInternal if its body is malformed. Errors that the
// instance returns keep their codes. Thread-safe.
class AdminClient {
 public:
  // `address` is "ip:port". `timeout` bounds each call.
  AdminClient(std::string address, std::string admin_token, Millis timeout);

  Result<FleetStatus> Status() const;
  Result<InstanceStatus> Position() const;
  Result<ConfigReply> Config(std::optional<ConfigVersion> version) const;
  Result<std::vector<ConfigVersionEntry>> ConfigHistory() const;
  Result<ChangeReply> ApplyConfig(const ApplyConfigRequest& request) const;
  Result<KeyListing> Keys() const;
  Result<ChangeReply> GrantKey(const GrantKeyRequest& request) const;
  Result<WithdrawKeyReply> WithdrawKey(const WithdrawKeyRequest& request) const;
  Result<ChangeReply> DrainInstance(const DrainRequest& request) const;
  Result<std::vector<Span>> Trace(const std::string& trace_id) const;
  Result<std::vector<UsageLine>> Usage(int windows) const;

  const std::string& address() const { return address_; }

 private:
  Result<std::string> Get(const std::string& path,
                          const std::string& query) const;
  Result<std::string> Post(const std::string& path,
                           const std::string& body) const;
  Result<std::string> Call(const std::string& method,
                           const std::string& path,
                           const std::string& query,
                           const std::string& body) const;

  std::string address_;
  std::string token_;
  Millis timeout_;
};

}  // namespace bamboomount

#endif  // ADMIN_ADMIN_CLIENT_H_
