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
  // What an engine must have admission for.
  EngineAdmissionRequest admission;
  // The zone of this instance; bytes to other zones cost money.
  ZoneId zone;
  // All servers of the pool, also those that cannot be chosen now.
  std::vector<const BackendServer*> listed;
};

// How the chosen engine gets the shared parts of a prompt.
struct PrefixPlan {
  // Tokens that it has to read itself.
  Tokens prefill_tokens;
  // The engine that it copies shared parts from; null if there is none.
  const BackendServer* copy_from = nullptr;
};

// Chooses the backend server for a request.
//
// Requests about a subject go to its home, as long as the load there stays
// within a bound; then to the next engines in the subject's order, so that few
// engines read the same shared parts. Only if all of these are loaded, the one
// with the least expected cost is taken: tokens waiting to be read there, parts
// that it lacks, requests that it already serves, and the way to another zone.
//
// Conversations and long prompts are kept apart, see ReservedEngines.
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

  // Null if `candidates` is empty, or no engine among them has admission.
  // Servers that fail are chosen only if too few others are left: a fault on
  // this side must not empty the pool.
  const BackendServer* Choose(const Servers& candidates,
                              const PlacementRequest& request,
                              Instant now);
  // Notes that the server reads the prompt's shared parts.
  void RecordPrefixSent(const BackendServer& server,
                        const PromptShape& prompt,
                        Instant now) {
    prefixes_.RecordPrefixSent(server, prompt, now);
  }
  PrefixPlan PlanPrefix(const BackendServer& server,
                        const PlacementRequest& request,
                        Instant now) const;

 private:
  Servers FilterHealthy(const Servers& candidates, Instant now) const;
  const BackendServer* ChooseEngine(const Servers& candidates,
                                    const PlacementRequest& request,
                                    Instant now);
  const BackendServer* ChooseService(const Servers& candidates,
                                     const PlacementRequest& request) const;
  // The first engine in the subject's order that is not loaded beyond the
  // bound; null if there is none among the first few.
  const BackendServer* ChooseByPrefix(const Servers& candidates,
                                      const PlacementRequest& request) const;
  // Whether the engine takes a request like this one now.
  bool AcceptsRequest(const BackendServer& server,
                      const PlacementRequest& request) const;
  double ServiceCost(const BackendServer& server,
                     const PlacementRequest& request) const;
  double EngineCost(const BackendServer& server,
                    const BackendServer* home,
                    const PlacementRequest& request,
                    Instant now) const;
  // Those of `servers` on which prompts like the request's are read.
  Servers ExcludeReserved(const Servers& servers) const;

  const BackendLoads& loads_;
  const ServerHealth& health_;
  PrefixLocator prefixes_;
  ReservedEngines reserved_engines_;
  EngineAdmission admission_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_BACKEND_SELECTOR_H_
