#ifndef GATEWAY_PLACEMENT_BACKEND_LOADS_H_
#define GATEWAY_PLACEMENT_BACKEND_LOADS_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"

namespace bamboomount {

// Work that instances have at one backend server.
struct BackendLoad {
  // Requests that were sent and have not ended.
  int requests = 0;
  // Prompt tokens of requests without a first token yet.
  std::int64_t pending_prefill_tokens = 0;
  // Those of requests that are more urgent than the least urgent ones.
  std::int64_t urgent_prefill_tokens = 0;
  // Requests that are generating tokens.
  int generating = 0;
  // Requests that generate for much longer than their prompt takes to read.
  int long_answers = 0;

  BackendLoad& operator+=(const BackendLoad& other);
  BackendLoad& operator-=(const BackendLoad& other);
};

// What one request adds to the load of its server.
struct RequestLoad {
  // Prompt tokens that the server has to read.
  Tokens prefill_tokens;
  bool long_answer = false;
  // It is more urgent than the least urgent ones.
  bool urgent = false;
};

// What this instance knows of the load of backend servers: its own requests as
// they happen, and what the other instances last told.
class BackendLoads {
 public:
  void AddRequest(const BackendId& server, const RequestLoad& request);
  void RecordFirstToken(const BackendId& server, const RequestLoad& request);
  // `generating`: the first token had arrived.
  void EndRequest(const BackendId& server,
                  const RequestLoad& request,
                  bool generating);

  // Another instance's requests at all servers, in place of what it last told.
  void SetRemoteLoads(const InstanceId& instance,
                      std::map<BackendId, BackendLoad> loads);
  // Drops what instances that are not in `live_instances` told.
  void RetainRemoteLoads(const std::vector<InstanceId>& live_instances);

  // The load of all instances together.
  BackendLoad Total(const BackendId& server) const;
  std::map<BackendId, BackendLoad> LocalLoads() const;
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
