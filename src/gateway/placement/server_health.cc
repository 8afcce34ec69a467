#include "gateway/placement/server_health.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Consecutive failures that eject a server. Fewer may be failures of single
// requests without a fault of the server.
constexpr int kFailuresUntilEjection = 3;
constexpr Millis kFirstEjection{500};
constexpr int kMaxDoublings = 4;
// Ejection of a server whose address another server has taken over. Covers the
// few status reports after which the row of the replaced server is removed.
constexpr Millis kReplacedEjection{4000};
// Number of other instances that must have ejected a server for it to be
// avoided here.
constexpr std::size_t kRemoteEjectionQuorum = 2;
// A reported ejection expires after this time unless it is reported again.
constexpr Millis kMaxRemoteEjection{2000};
// Weight of a new observation in the moving average.
constexpr double kLatencyRatioSmoothing = 0.15;
constexpr double kMaxLatencyRatio = 10;

}  // namespace

void ServerHealth::RecordSuccess(const BackendId& server,
                                 Millis latency,
                                 Millis expected) {
  Record& record = records_[server];
  record.failures_in_row = 0;
  record.ejected_until = Instant();
  record.remote_ejections.clear();
  const double observed_ratio =
      static_cast<double>(latency.count()) /
      static_cast<double>(std::max<Millis::rep>(expected.count(), 1));
  record.latency_ratio +=
      kLatencyRatioSmoothing *
      (std::min(observed_ratio, kMaxLatencyRatio) - record.latency_ratio);
}

void ServerHealth::RecordFailure(const BackendId& server,
                                 ServerFailure failure,
                                 Instant now) {
  Record& record = records_[server];
  ++record.failures_in_row;
  if (failure == ServerFailure::kReplaced) {
    record.ejected_until = now + kReplacedEjection;
    return;
  }
  const bool ejects_now = failure == ServerFailure::kConnectionRefused ||
                          CountRemoteEjections(record, now) > 0;
  if (ejects_now && record.failures_in_row < kFailuresUntilEjection)
    record.failures_in_row = kFailuresUntilEjection;
  const int excess_failures = record.failures_in_row - kFailuresUntilEjection;
  if (excess_failures < 0)
    return;
  record.ejected_until =
      now + kFirstEjection * (1 << std::min(excess_failures, kMaxDoublings));
}

Instant ServerHealth::RecordRetryAfter(const BackendId& server,
                                       Millis duration,
                                       Instant now) {
  Instant& retry_not_before = records_[server].retry_not_before;
  retry_not_before = std::max(retry_not_before, now + duration);
  return retry_not_before;
}

bool ServerHealth::IsBackingOff(const BackendId& server, Instant now) const {
  const auto record = records_.find(server);
  return record != records_.end() && now < record->second.retry_not_before;
}

void ServerHealth::ForgetFailures() {
  for (auto& [server, record] : records_) {
    record.failures_in_row = 0;
    record.ejected_until = Instant();
  }
}

void ServerHealth::SetRemoteEjections(const InstanceId& instance,
                                      const std::vector<EjectedServer>& ejected,
                                      Instant now) {
  for (auto& [id, record] : records_)
    record.remote_ejections.erase(instance);
  for (const EjectedServer& server : ejected)
    records_[server.id].remote_ejections[instance] =
        now + std::min(server.remaining, kMaxRemoteEjection);
}

void ServerHealth::Reset(const BackendId& server) {
  records_.erase(server);
}

std::size_t ServerHealth::CountRemoteEjections(const Record& record,
                                               Instant now) {
  return static_cast<std::size_t>(std::count_if(
      record.remote_ejections.begin(), record.remote_ejections.end(),
      [now](const auto& ejection) { return now < ejection.second; }));
}

bool ServerHealth::IsEjected(const BackendId& server, Instant now) const {
  const auto record = records_.find(server);
  return record != records_.end() && now < record->second.ejected_until;
}

bool ServerHealth::IsEjectedByPeers(const BackendId& server,
                                    Instant now) const {
  const auto record = records_.find(server);
  return record != records_.end() &&
         CountRemoteEjections(record->second, now) >= kRemoteEjectionQuorum;
}

bool ServerHealth::HasFailures(const BackendId& server) const {
  const auto record = records_.find(server);
  return record != records_.end() && record->second.failures_in_row > 0;
}

double ServerHealth::LatencyRatio(const BackendId& server) const {
  const auto record = records_.find(server);
  return record == records_.end() ? 1 : record->second.latency_ratio;
}

std::vector<EjectedServer> ServerHealth::EjectedServers(Instant now) const {
  std::vector<EjectedServer> ejected;
  for (const auto& [id, record] : records_) {
    if (now < record.ejected_until)
      ejected.push_back({id, ToMillis(record.ejected_until - now)});
  }
  return ejected;
}

}  // namespace bamboomount
