#ifndef PEER_SLOT_WORKLOAD_H_
#define PEER_SLOT_WORKLOAD_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "peer/peer_cluster.h"

namespace bamboomount {

// Requests of a test, with everything that was answered to them.
class SlotWorkload {
 public:
  struct TrackedRequest {
    int router = 0;
    Tier tier;
    int answers = 0;
    bool cancelled = false;
    std::optional<ErrorCode> refusal;
    // While the request runs.
    std::optional<BackendId> backend;
  };

  explicit SlotWorkload(PeerCluster& cluster) : cluster_(cluster) {}

  RequestId Start(int router, Tier tier = Tier(0)) {
    SlotRequest request;
    request.request = RequestId("q" + std::to_string(tracked_.size()));
    request.class_id = ClassId("class-" + std::to_string(tier.value()));
    request.tier = tier;
    request.customer = CustomerId("kennel");
    request.queue_limit = 1000;
    request.first_token_target = std::chrono::hours(1);
    tracked_[request.request] = {router, tier, 0, false, {}, {}};
    cluster_.at(router).broker->Request(
        PoolId("futter"), request,
        [this, id = request.request](const Result<Slot>& result) {
          OnResult(id, result);
        });
    return request.request;
  }

  void Release(const RequestId& id) {
    TrackedRequest& request = tracked_.at(id);
    request.backend.reset();
    cluster_.at(request.router).broker->Release(id, {});
  }

  void Cancel(const RequestId& id) {
    TrackedRequest& request = tracked_.at(id);
    request.cancelled = true;
    request.backend.reset();
    cluster_.at(request.router).broker->Cancel(id);
  }

  // Requests of live routers that run or wait.
  std::vector<RequestId> Running() const { return SelectRequests(true); }
  std::vector<RequestId> Waiting() const { return SelectRequests(false); }

  // Highest number of running requests on one backend server.
  int MaxRunningPerBackend() const {
    std::map<BackendId, int> use;
    int highest = 0;
    for (const RequestId& id : Running())
      highest = std::max(highest, ++use[*tracked_.at(id).backend]);
    return highest;
  }

  // True if each request of a live router that was not cancelled has exactly
  // one answer, and none has more.
  bool EachAnsweredOnce() const {
    return std::all_of(tracked_.begin(), tracked_.end(), [&](auto& entry) {
      const TrackedRequest& request = entry.second;
      const bool optional =
          request.cancelled || !cluster_.at(request.router).alive;
      return request.answers == 1 || (optional && request.answers == 0);
    });
  }

  // Whether owners and routers hold no request any more.
  bool HasNoOpenRequests() const {
    for (const auto& [id, router] : cluster_.routers) {
      if (!router->alive)
        continue;
      if (router->broker->open_requests() != 0)
        return false;
      for (const OwnedCellStatus& cell : router->broker->OwnedCells()) {
        if (cell.waiting != 0 || cell.running != 0)
          return false;
      }
    }
    return true;
  }

  const TrackedRequest& at(const RequestId& id) const {
    return tracked_.at(id);
  }
  // Called for each grant, before it counts as running.
  std::function<void(const TrackedRequest&)> on_grant;

 private:
  void OnResult(const RequestId& id, const Result<Slot>& result) {
    TrackedRequest& request = tracked_.at(id);
    ++request.answers;
    if (!result) {
      request.refusal = result.error().code;
      return;
    }
    if (on_grant)
      on_grant(request);
    request.backend = result.value().backend;
  }

  std::vector<RequestId> SelectRequests(bool running) const {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : tracked_) {
      const bool waiting = request.answers == 0 && !request.cancelled;
      if (!cluster_.at(request.router).alive)
        continue;
      if (running ? request.backend.has_value() : waiting)
        ids.push_back(id);
    }
    return ids;
  }

  PeerCluster& cluster_;
  std::map<RequestId, TrackedRequest> tracked_;
};

}  // namespace bamboomount

#endif  // PEER_SLOT_WORKLOAD_H_
