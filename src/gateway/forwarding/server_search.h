#ifndef GATEWAY_FORWARDING_SERVER_SEARCH_H_
#define GATEWAY_FORWARDING_SERVER_SEARCH_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/placement/backend_selector.h"

namespace bamboomount {

// What a server is searched for.
struct ServerSearchRequest {
  // Both must outlive the search.
  const PromptShape& prompt;
  const AdmittedRequest& admitted;
  PoolId pool;
  // Null for plain services.
  const EngineTraits* engine = nullptr;
  Instant received;
  Instant deadline;

  // Whether the request ranks above the lowest urgency level.
  bool IsUrgent() const;
};

// Chooses a backend server for one request, and waits for one if none has
// capacity now. The wait is limited, and requests of higher priority come
// first. Not thread-safe.
class ServerSearch {
 public:
  // Receives the result of each Find(): exactly one call, unless the search is
  // cancelled.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnServerFound(const BackendServer& server) = 0;
    virtual void OnNoServer(std::string_view reason) = 0;
    // The wait for capacity has ended; the search must be started again.
    virtual void OnWoken() = 0;
    // A part of the prompt crashes engines; the request may be sent again after
    // `retry_after`.
    virtual void OnPoisonousPrompt(Millis retry_after) = 0;
  };

  ServerSearch(Dispatcher& dispatcher, Observer& observer);

  // Searches among the servers that are not in `tried`. `owner` is kept alive
  // while the search waits. May call the observer
  // before it returns.
  void Find(const ServerSearchRequest& request,
            const std::vector<BackendId>& tried,
            const std::shared_ptr<void>& owner);
  // Ends a wait. Does nothing if there is none.
  void Cancel();

  // The inputs of the selector for the request.
  static PlacementRequest MakePlacementRequest(
      const ServerSearchRequest& request,
      const GatewayState& state);

 private:
  // Whether the request has to wait whatever the servers' load is: behind more
  // urgent ones, or because this instance has enough at the engines.
  bool MustQueue(Instant now) const;
  void Wait(const std::shared_ptr<void>& owner);
  void OnWaitTimeout();

  Dispatcher& dispatcher_;
  Observer& observer_;
  std::optional<ServerSearchRequest> request_;
  std::optional<Dispatcher::WaitTicket> ticket_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_SERVER_SEARCH_H_
