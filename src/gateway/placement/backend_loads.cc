#include "gateway/placement/backend_loads.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

constexpr int kFailuresUntilEjection = 3;
constexpr Millis kFirstEjection{500};
constexpr int kMaxDoublings = 4;
// Weight of the newest observation.
constexpr double kSlownessGain = 0.15;
constexpr double kMaxSlowness = 10;

}  // namespace

BackendLoad& BackendLoad::operator+=(const BackendLoad& other) {
  requests += other.requests;
  unread_tokens += other.unread_tokens;
  generating += other.generating;
  long_answers += other.long_answers;
  return *this;
}

void BackendLoads::AddRequest(const BackendId& server,
                              const RequestLoad& request) {
  BackendLoad& load = records_[server].own;
  ++load.requests;
  load.unread_tokens += request.unread.value();
  load.long_answers += request.long_answer ? 1 : 0;
}

void BackendLoads::NoteFirstToken(const BackendId& server,
                                  const RequestLoad& request) {
  BackendLoad& load = records_[server].own;
  load.unread_tokens -= request.unread.value();
  ++load.generating;
}

void BackendLoads::EndRequest(const BackendId& server,
                              const RequestLoad& request,
                              bool generating) {
  BackendLoad& load = records_[server].own;
  --load.requests;
  load.long_answers -= request.long_answer ? 1 : 0;
  if (generating)
    --load.generating;
  else
    load.unread_tokens -= request.unread.value();
}

void BackendLoads::NoteSuccess(const BackendId& server,
                               Millis latency,
                               Millis expected) {
  Record& record = records_[server];
  record.failures_in_row = 0;
  record.ejected_until = Instant();
  const double ratio =
      static_cast<double>(latency.count()) /
      static_cast<double>(std::max<Millis::rep>(expected.count(), 1));
  record.slowness +=
      kSlownessGain * (std::min(ratio, kMaxSlowness) - record.slowness);
}

void BackendLoads::NoteFailure(const BackendId& server, Instant now) {
  Record& record = records_[server];
  ++record.failures_in_row;
  const int beyond = record.failures_in_row - kFailuresUntilEjection;
  if (beyond < 0)
    return;
  record.ejected_until =
      now + kFirstEjection * (1 << std::min(beyond, kMaxDoublings));
}

void BackendLoads::SetRemote(const InstanceId& instance,
                             std::map<BackendId, BackendLoad> loads) {
  ForgetRemote(instance);
  for (const auto& [server, load] : loads)
    records_[server].remote += load;
  remote_.insert_or_assign(instance, std::move(loads));
}

void BackendLoads::ForgetRemote(const InstanceId& instance) {
  const auto told = remote_.find(instance);
  if (told == remote_.end())
    return;
  for (const auto& [server, load] : told->second) {
    BackendLoad& remote = records_[server].remote;
    remote.requests -= load.requests;
    remote.unread_tokens -= load.unread_tokens;
    remote.generating -= load.generating;
    remote.long_answers -= load.long_answers;
  }
  remote_.erase(told);
}

void BackendLoads::Forget(const BackendId& server) {
  const auto record = records_.find(server);
  if (record == records_.end())
    return;
  // Requests that are still in progress end later, and remote figures are taken
  // back when they are told anew.
  record->second.failures_in_row = 0;
  record->second.ejected_until = Instant();
  record->second.slowness = 1;
}

void BackendLoads::KeepRemotes(const std::vector<InstanceId>& alive) {
  std::vector<InstanceId> ended;
  for (const auto& [instance, loads] : remote_) {
    if (std::find(alive.begin(), alive.end(), instance) == alive.end())
      ended.push_back(instance);
  }
  for (const InstanceId& instance : ended)
    ForgetRemote(instance);
}

BackendLoad BackendLoads::Total(const BackendId& server) const {
  const auto record = records_.find(server);
  if (record == records_.end())
    return {};
  BackendLoad total = record->second.own;
  total += record->second.remote;
  return total;
}

std::map<BackendId, BackendLoad> BackendLoads::OwnLoads() const {
  std::map<BackendId, BackendLoad> loads;
  for (const auto& [server, record] : records_) {
    if (record.own.requests > 0)
      loads.emplace(server, record.own);
  }
  return loads;
}

int BackendLoads::OwnRequests(const BackendId& server) const {
  const auto record = records_.find(server);
  return record == records_.end() ? 0 : record->second.own.requests;
}

bool BackendLoads::IsEjected(const BackendId& server, Instant now) const {
  const auto record = records_.find(server);
  return record != records_.end() && now < record->second.ejected_until;
}

bool BackendLoads::HasFailures(const BackendId& server) const {
  const auto record = records_.find(server);
  return record != records_.end() && record->second.failures_in_row > 0;
}

double BackendLoads::Slowness(const BackendId& server) const {
  const auto record = records_.find(server);
  return record == records_.end() ? 1 : record->second.slowness;
}

}  // namespace bamboomount
