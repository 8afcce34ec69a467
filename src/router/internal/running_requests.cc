#include "router/internal/running_requests.h"

namespace bamboomount {

void RunningRequests::Add(const std::shared_ptr<RunningRequest>& request) {
  Shard& shard = ShardFor(request->id());
  const std::lock_guard lock(shard.mutex);
  if (shard.requests.emplace(request->id(), request).second)
    ++count_;
}

void RunningRequests::Remove(const RunningRequest& request) {
  Shard& shard = ShardFor(request.id());
  const std::lock_guard lock(shard.mutex);
  count_ -= static_cast<int>(shard.requests.erase(request.id()));
}

RunningRequests::Shard& RunningRequests::ShardFor(const RequestId& id) {
  return shards_[std::hash<RequestId>{}(id) % kShardCount];
}

std::vector<std::shared_ptr<RunningRequest>> RunningRequests::Snapshot() {
  std::vector<std::shared_ptr<RunningRequest>> all;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [id, request] : shard.requests)
      all.push_back(request);
  }
  return all;
}

}  // namespace bamboomount
