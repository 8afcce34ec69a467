#ifndef GATEWAY_PLACEMENT_SERVER_HEALTH_H_
#define GATEWAY_PLACEMENT_SERVER_HEALTH_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"

namespace bamboomount {

// How a request at a backend server failed.
enum class ServerFailure {
  // It took no connection in time, or broke off or never gave its answer.
  kNoResponse,
  // Nobody listens at its address.
  kConnectionRefused,
  // Another server listens at its address.
  kReplaced,
};

// A server that an instance leaves out, and for how long.
struct EjectedServer {
  BackendId id;
  Millis remaining{0};
};

// Which backend servers to leave out, from what is observed: answers and
// failures of this instance's requests, and what other instances tell of
// theirs. It answers failures that the servers' own reports hide or tell late.
//
// A failing server is left out for a time that doubles with each failure in a
// row. A single other instance that leaves a server out makes this one more
// careful; two are believed, since one alone may have lost the way to it.
class ServerHealth {
 public:
  void RecordSuccess(const BackendId& server, Millis latency, Millis expected);
  void RecordFailure(const BackendId& server,
                     ServerFailure failure,
                     Instant now);
  // What another instance leaves out, in place of what it last told.
  void SetRemoteEjections(const InstanceId& instance,
                          const std::vector<EjectedServer>& ejected,
                          Instant now);
  // Drops what is kept of a server that is gone or was started again.
  void Reset(const BackendId& server);

  // Whether this instance's own requests failed there.
  bool IsEjected(const BackendId& server, Instant now) const;
  // Whether others are believed that theirs did.
  bool IsEjectedByPeers(const BackendId& server, Instant now) const;
  // Whether the last request that this instance sent there failed.
  bool HasFailures(const BackendId& server) const;
  // Observed against expected latency; 1 is as expected.
  double LatencyRatio(const BackendId& server) const;
  // What other instances are told.
  std::vector<EjectedServer> EjectedServers(Instant now) const;

 private:
  struct Record {
    int failures_in_row = 0;
    Instant ejected_until;
    double latency_ratio = 1;
    // Until when each other instance leaves it out.
    std::map<InstanceId, Instant> remote_ejections;
  };

  static std::size_t CountRemoteEjections(const Record& record, Instant now);

  std::unordered_map<BackendId, Record> records_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_SERVER_HEALTH_H_
