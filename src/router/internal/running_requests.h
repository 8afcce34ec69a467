#ifndef ROUTER_INTERNAL_RUNNING_REQUESTS_H_
#define ROUTER_INTERNAL_RUNNING_REQUESTS_H_

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "router/internal/running_request.h"

namespace bamboomount {

// Snapshot requests in progress, in shards by request id. Thread-safe.
class RunningRequests {
 public:
  void Add(const std::shared_ptr<RunningRequest>& request);
  void Remove(const RunningRequest& request);
  int count() const { return count_; }

  // Cancels every keyed request for which `matches(key)` holds.
  template <typename Predicate>
  void CancelRequestsByKey(const Error& reason, Predicate matches) {
    for (const auto& request : Snapshot()) {
      if (!request->key() || !matches(*request->key()))
        continue;
      request->Cancel(reason);
    }
  }

 private:
  static constexpr std::size_t kShardCount = 16;
  struct Shard {
    std::mutex mutex;
    std::unordered_map<RequestId, std::shared_ptr<RunningRequest>> requests;
  };

  Shard& ShardFor(const RequestId& id);
  std::vector<std::shared_ptr<RunningRequest>> Snapshot();

  std::array<Shard, kShardCount> shards_;
  std::atomic<int> count_ = 0;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_RUNNING_REQUESTS_H_
