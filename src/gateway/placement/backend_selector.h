#ifndef GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_
#define GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_

#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/prompt_shape.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/engine_admission.h"
#include "gateway/placement/prefix_locator.h"
#include "gateway/placement/reserved_engines.h"
#include "gateway/placement/server_health.h"
#include "gateway/traffic/pool.h"

namespace bamboomount {

// The request that a backend server is chosen for.
struct PlacementRequest {
  // Empty for plain services.
  const PromptShape& prompt;
  // Null for plain services.
  const EngineTraits* engine = nullptr;
  // Input of the admission check of an engine.
  EngineAdmissionRequest admission;
  // The zone of this instance; traffic to other zones costs money.
  ZoneId zone;
  // All listed servers of the pool, including those that cannot be chosen now.
  std::vector<const BackendServer*> listed;
};

// How the chosen engine obtains the shared prefix of a prompt.
struct PrefixPlan {
  // Prompt tokens that the engine has to prefill itself.
  Tokens prefill_tokens;
  // The engine to copy the shared prefix from; null if nothing is copied.
  const BackendServer* copy_from = nullptr;
};

// Chooses the backend server for a request. Not thread-safe.
//
// Requests with the same shared prefix go to the prefix's home engine while its
// load stays below a bound, then to the next engines in the prefix's ranking,
// so that few engines prefill the same prefix. If all of these are overloaded,
// the engine with the lowest expected cost is taken. The cost covers the prompt
// tokens pending there, the requests being served, a missing prefix, and
// traffic to another zone.
//
// Conversations and long prompts are sent to different engines, see
// ReservedEngines.
class BackendSelector {
 public:
  using Servers = std::vector<const BackendServer*>;

  BackendSelector(const BackendLoads& loads,
                  const ServerHealth& health,
                  const PrefillThroughput& throughput)
      : loads_(loads),
        health_(health),
        reserved_engines_(loads),
        admission_(loads, throughput) {}

  // Returns null if `candidates` is empty, if no engine admits the request, or
  // if the request has to yield to a more urgent one, see EngineAdmission.
  // Ejected servers are chosen only if too few others are left, because a fault
  // of this instance must not empty the pool.
  const BackendServer* Choose(const Servers& candidates,
                              const PlacementRequest& request,
                              Instant now);
  // Records that a request with the prompt was sent to the server, which then
  // holds the prompt's shared prefix.
  void RecordPrefixSent(const BackendServer& server,
                        const PromptShape& prompt,
                        Instant now) {
    prefixes_.RecordPrefixSent(server, prompt, now);
  }
  // Decides how the chosen server obtains the shared prefix of the prompt.
  PrefixPlan PlanPrefix(const BackendServer& server,
                        const PlacementRequest& request,
                        Instant now) const;

 private:
  using AdmissionRule =
      bool (EngineAdmission::*)(const BackendServer&,
                                const EngineAdmissionRequest&) const;

  Servers FilterHealthy(const Servers& candidates, Instant now) const;
  const BackendServer* ChooseEngine(const Servers& candidates,
                                    const PlacementRequest& request,
                                    Instant now);
  const BackendServer* ChooseService(const Servers& candidates,
                                     const PlacementRequest& request) const;
  // Returns the first engine in the prefix's ranking that is not overloaded;
  // null if there is none among the first few.
  const BackendServer* ChooseByPrefix(const Servers& candidates,
                                      const PlacementRequest& request) const;
  // Returns the engine with the lowest expected cost among those that `rule`
  // admits the request to; null if there is none.
  const BackendServer* CheapestEngine(const Servers& candidates,
                                      const PlacementRequest& request,
                                      AdmissionRule rule,
                                      Instant now) const;
  bool AcceptsRequest(const BackendServer& server,
                      const PlacementRequest& request,
                      AdmissionRule rule) const;
  double ServiceCost(const BackendServer& server,
                     const PlacementRequest& request) const;
  double EngineCost(const BackendServer& server,
                    const BackendServer* home,
                    const PlacementRequest& request,
                    Instant now) const;
  // Returns the engines that are not reserved for conversations.
  Servers ExcludeReserved(const Servers& servers) const;

  const BackendLoads& loads_;
  const ServerHealth& health_;
  PrefixLocator prefixes_;
  ReservedEngines reserved_engines_;
  EngineAdmission admission_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_
