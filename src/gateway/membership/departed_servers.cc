#include "gateway/membership/departed_servers.h"

namespace bamboomount {

void DepartedServers::Record(const BackendServer& server, Instant now) {
  departures_.insert_or_assign(
      server.id, Departure{server.started_at_ms, server.draining, now});
}

bool DepartedServers::Includes(const BackendServer& row) const {
  const auto departure = departures_.find(row.id);
  if (departure == departures_.end())
    return false;
  const std::int64_t started_at_ms = departure->second.started_at_ms;
  return IsSameProcess(row.started_at_ms, started_at_ms) ||
         row.started_at_ms < started_at_ms;
}

bool DepartedServers::MayHaveLapsed(const BackendServer& row) const {
  const auto departure = departures_.find(row.id);
  return departure != departures_.end() && !departure->second.draining &&
         IsSameProcess(row.started_at_ms, departure->second.started_at_ms);
}

void DepartedServers::Expire(Instant now) {
  std::erase_if(departures_, [now](const auto& item) {
    return now - item.second.at >= kRetention;
  });
}

}  // namespace bamboomount
