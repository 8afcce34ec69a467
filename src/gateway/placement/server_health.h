#ifndef GATEWAY_PLACEMENT_SERVER_HEALTH_H_
#define GATEWAY_PLACEMENT_SERVER_HEALTH_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"

namespace bamboomount {

// How a request to a backend server failed.
enum class ServerFailure {
  // The server accepted no connection in time, closed the connection, or did
  // not answer.
  kNoResponse,
  // No process listens at the server's address.
  kConnectionRefused,
  // Another server listens at the server's address.
  kReplaced,
};

// A server that an instance has ejected, and for how much longer.
struct EjectedServer {
  BackendId id;
  Millis remaining{0};
};

// Outlier detection for backend servers: ejects servers by the results of this
// instance's requests and by the ejections that other instances report. It
// detects failures that the servers' own status reports hide or show late. Not
// thread-safe.
//
// A failing server is ejected for a time that doubles with each further
// consecutive failure, up to a limit. If one other instance has ejected a
// server, the first failure here ejects it too. The ejections of two other
// instances are enough by themselves; one is not, because that instance alone
// may have lost its network path to the server.
//
// A server may also ask for a pause. That is no failure, but holds whatever
// else is known of the server.
class ServerHealth {
 public:
  // Ends the ejection of the server, also by other instances, and updates its
  // latency ratio.
  void RecordSuccess(const BackendId& server, Millis latency, Millis expected);
  // Counts a failure. Ejects the server after several consecutive ones, and at
  // once after kConnectionRefused or kReplaced or if another instance has
  // ejected it.
  void RecordFailure(const BackendId& server,
                     ServerFailure failure,
                     Instant now);
  // Records that the server wants no requests of this instance for `duration`.
  // Returns when the longest such time ends.
  Instant RecordRetryAfter(const BackendId& server,
                           Millis duration,
                           Instant now);
  // Whether that time has not passed yet.
  bool IsBackingOff(const BackendId& server, Instant now) const;
  // Replaces the ejections that another instance last reported by `ejected`.
  void SetRemoteEjections(const InstanceId& instance,
                          const std::vector<EjectedServer>& ejected,
                          Instant now);
  // Ends the ejections by this instance and forgets the failures that it has
  // seen, because its own network path caused them.
  void ForgetFailures();
  // Removes all records of a server that is gone or has restarted.
  void Reset(const BackendId& server);

  // Whether this instance has ejected the server because its own requests
  // failed.
  bool IsEjected(const BackendId& server, Instant now) const;
  // Whether enough other instances have ejected the server.
  bool IsEjectedByPeers(const BackendId& server, Instant now) const;
  // Whether the last request of this instance to the server failed.
  bool HasFailures(const BackendId& server) const;
  // Smoothed ratio of observed to expected latency; 1 before the first success.
  double LatencyRatio(const BackendId& server) const;
  // The servers that this instance has ejected, as reported to other instances.
  std::vector<EjectedServer> EjectedServers(Instant now) const;

 private:
  struct Record {
    int failures_in_row = 0;
    Instant ejected_until;
    Instant retry_not_before;
    double latency_ratio = 1;
    // End of the ejection by each other instance.
    std::map<InstanceId, Instant> remote_ejections;
  };

  static std::size_t CountRemoteEjections(const Record& record, Instant now);

  std::unordered_map<BackendId, Record> records_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_SERVER_HEALTH_H_
