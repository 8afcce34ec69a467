#ifndef GATEWAY_PLACEMENT_BACKEND_LOADS_H_
#define GATEWAY_PLACEMENT_BACKEND_LOADS_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"

namespace bamboomount {

// Load that instances have placed on one backend server.
struct BackendLoad {
  // Requests that were sent and have not ended.
  int requests = 0;
  // Prompt tokens of requests that have not produced their first token.
  std::int64_t pending_prefill_tokens = 0;
  // The part of `pending_prefill_tokens` that belongs to urgent requests, see
  // RequestLoad::urgent.
  std::int64_t urgent_prefill_tokens = 0;
  // Requests that have produced their first token and have not ended.
  int generating = 0;
  // Requests whose generation takes much longer than their prefill, see
  // PromptShape::HasLongAnswer().
  int long_answers = 0;

  BackendLoad& operator+=(const BackendLoad& other);
  BackendLoad& operator-=(const BackendLoad& other);
};

// Load that one request adds to its backend server.
struct RequestLoad {
  // Prompt tokens that the server has to prefill.
  Tokens prefill_tokens;
  // See PromptShape::HasLongAnswer().
  bool long_answer = false;
  // Whether the request ranks above the lowest urgency level.
  bool urgent = false;
};

// Load of the backend servers as this instance knows it: its own requests,
// updated immediately, and the loads last reported by the other instances. Not
// thread-safe.
class BackendLoads {
 public:
  // Adds a request that this instance sends to the server.
  void AddRequest(const BackendId& server, const RequestLoad& request);
  // Moves a request from prefill to generation.
  void RecordFirstToken(const BackendId& server, const RequestLoad& request);
  // Ends a request that was added by AddRequest() with the same `request`.
  // `generating`: RecordFirstToken() was called for it.
  void EndRequest(const BackendId& server,
                  const RequestLoad& request,
                  bool generating);

  // Replaces everything that another instance last reported by `loads`.
  void SetRemoteLoads(const InstanceId& instance,
                      std::map<BackendId, BackendLoad> loads);
  // Removes the loads reported by instances that are not in `live_instances`,
  // so that the requests of a failed instance do not count for ever.
  void RetainRemoteLoads(const std::vector<InstanceId>& live_instances);

  // The load from all instances together; zero for an unknown server.
  BackendLoad Total(const BackendId& server) const;
  // The loads of servers that have requests of this instance.
  std::map<BackendId, BackendLoad> LocalLoads() const;
  // Number of other instances whose loads are known.
  std::size_t remote_count() const { return remote_.size(); }
  // Number of servers that have requests of this instance.
  std::size_t BusyServers() const;
  // The number of requests that this instance has at the server.
  int LocalRequests(const BackendId& server) const;

 private:
  void RemoveRemoteLoads(const InstanceId& instance);

  struct Record {
    BackendLoad local;
    BackendLoad remote;
  };

  std::unordered_map<BackendId, Record> records_;
  std::map<InstanceId, std::map<BackendId, BackendLoad>> remote_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_BACKEND_LOADS_H_
