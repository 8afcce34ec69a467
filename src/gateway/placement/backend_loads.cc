#include "gateway/placement/backend_loads.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

// Adds the tokens of a request that was sent, or takes them away.
void AddUnread(BackendLoad& load, const RequestLoad& request, int sign) {
  load.unread_tokens += sign * request.unread.value();
  if (request.urgent)
    load.urgent_tokens += sign * request.unread.value();
}

}  // namespace

BackendLoad& BackendLoad::operator+=(const BackendLoad& other) {
  requests += other.requests;
  unread_tokens += other.unread_tokens;
  urgent_tokens += other.urgent_tokens;
  generating += other.generating;
  long_answers += other.long_answers;
  return *this;
}

BackendLoad& BackendLoad::operator-=(const BackendLoad& other) {
  requests -= other.requests;
  unread_tokens -= other.unread_tokens;
  urgent_tokens -= other.urgent_tokens;
  generating -= other.generating;
  long_answers -= other.long_answers;
  return *this;
}

void BackendLoads::AddRequest(const BackendId& server,
                              const RequestLoad& request) {
  BackendLoad& load = records_[server].own;
  ++load.requests;
  AddUnread(load, request, 1);
  load.long_answers += request.long_answer ? 1 : 0;
}

void BackendLoads::NoteFirstToken(const BackendId& server,
                                  const RequestLoad& request) {
  BackendLoad& load = records_[server].own;
  AddUnread(load, request, -1);
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
    AddUnread(load, request, -1);
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
  for (const auto& [server, load] : told->second)
    records_[server].remote -= load;
  remote_.erase(told);
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

}  // namespace bamboomount
