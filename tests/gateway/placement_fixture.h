#ifndef TESTS_GATEWAY_PLACEMENT_FIXTURE_H_
#define TESTS_GATEWAY_PLACEMENT_FIXTURE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/forwarding/prompt_shape.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// The zone of the choosing instance and of all servers.
inline const ZoneId kLocalZone("here");

inline std::vector<BackendServer> MakeServers(int count, int slots = 16) {
  std::vector<BackendServer> servers;
  for (int i = 0; i < count; ++i) {
    BackendServer server;
    server.id = BackendId("e-" + std::to_string(i));
    server.zone = kLocalZone;
    server.slots = slots;
    servers.push_back(server);
  }
  return servers;
}

inline std::vector<const BackendServer*> Pointers(
    const std::vector<BackendServer>& servers) {
  std::vector<const BackendServer*> pointers;
  pointers.reserve(servers.size());
  for (const BackendServer& server : servers)
    pointers.push_back(&server);
  return pointers;
}

// A long prompt with a short answer and a shared prefix.
inline PromptShape Prompt(std::uint64_t prefix_id, std::uint64_t unshared_id) {
  return {Tokens(9000),
          Tokens(50),
          {{PromptPartId(1), Tokens(2500)},
           {PromptPartId(prefix_id), Tokens(3800)},
           {PromptPartId(unshared_id), Tokens(2700)}}};
}

// A short prompt with a long answer.
inline PromptShape Conversation() {
  return {Tokens(700),
          Tokens(280),
          {{PromptPartId(2), Tokens(170)}, {PromptPartId(3), Tokens(530)}}};
}

}  // namespace bamboomount

#endif  // TESTS_GATEWAY_PLACEMENT_FIXTURE_H_
