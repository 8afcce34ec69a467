#include "gateway/placement/backend_loads.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

// Adds the request's prefill tokens to the load, or subtracts them if `sign` is
// -1.
void AddPrefillTokens(BackendLoad& load, const RequestLoad& request, int sign) {
  load.pending_prefill_tokens += sign * request.prefill_tokens.value();
  if (request.urgent)
    load.urgent_prefill_tokens += sign * request.prefill_tokens.value();
}

}  // namespace

BackendLoad& BackendLoad::operator+=(const BackendLoad& other) {
  requests += other.requests;
  pending_prefill_tokens += other.pending_prefill_tokens;
  urgent_prefill_tokens += other.urgent_prefill_tokens;
  generating += other.generating;
  long_answers += other.long_answers;
  return *this;
}

BackendLoad& BackendLoad::operator-=(const BackendLoad& other) {
  requests -= other.requests;
  pending_prefill_tokens -= other.pending_prefill_tokens;
  urgent_prefill_tokens -= other.urgent_prefill_tokens;
  generating -= other.generating;
  long_answers -= other.long_answers;
  return *this;
}

void BackendLoads::AddRequest(const BackendId& server,
                              const RequestLoad& request) {
  BackendLoad& load = records_[server].local;
  ++load.requests;
  AddPrefillTokens(load, request, 1);
  load.long_answers += request.long_answer ? 1 : 0;
}

void BackendLoads::RecordFirstToken(const BackendId& server,
                                    const RequestLoad& request) {
  BackendLoad& load = records_[server].local;
  AddPrefillTokens(load, request, -1);
  ++load.generating;
}

void BackendLoads::EndRequest(const BackendId& server,
                              const RequestLoad& request,
                              bool generating) {
  BackendLoad& load = records_[server].local;
  --load.requests;
  load.long_answers -= request.long_answer ? 1 : 0;
  if (generating)
    --load.generating;
  else
    AddPrefillTokens(load, request, -1);
}

void BackendLoads::SetRemoteLoads(const InstanceId& instance,
                                  std::map<BackendId, BackendLoad> loads) {
  RemoveRemoteLoads(instance);
  for (const auto& [server, load] : loads)
    records_[server].remote += load;
  remote_.insert_or_assign(instance, std::move(loads));
}

void BackendLoads::RemoveRemoteLoads(const InstanceId& instance) {
  const auto reported = remote_.find(instance);
  if (reported == remote_.end())
    return;
  for (const auto& [server, load] : reported->second)
    records_[server].remote -= load;
  remote_.erase(reported);
}

void BackendLoads::RetainRemoteLoads(
    const std::vector<InstanceId>& live_instances) {
  std::vector<InstanceId> removed;
  for (const auto& [instance, loads] : remote_) {
    if (std::find(live_instances.begin(), live_instances.end(), instance) ==
        live_instances.end())
      removed.push_back(instance);
  }
  for (const InstanceId& instance : removed)
    RemoveRemoteLoads(instance);
}

BackendLoad BackendLoads::Total(const BackendId& server) const {
  const auto record = records_.find(server);
  if (record == records_.end())
    return {};
  BackendLoad total = record->second.local;
  total += record->second.remote;
  return total;
}

std::map<BackendId, BackendLoad> BackendLoads::LocalLoads() const {
  std::map<BackendId, BackendLoad> loads;
  for (const auto& [server, record] : records_) {
    if (record.local.requests > 0)
      loads.emplace(server, record.local);
  }
  return loads;
}

std::size_t BackendLoads::BusyServers() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(),
      [](const auto& item) { return item.second.local.requests > 0; }));
}

int BackendLoads::LocalRequests(const BackendId& server) const {
  const auto record = records_.find(server);
  return record == records_.end() ? 0 : record->second.local.requests;
}

}  // namespace bamboomount
