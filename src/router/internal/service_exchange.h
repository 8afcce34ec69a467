#ifndef ROUTER_INTERNAL_SERVICE_EXCHANGE_H_
#define ROUTER_INTERNAL_SERVICE_EXCHANGE_H_

#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "router/internal/backend_call.h"
#include "router/internal/caller_reply.h"
#include "router/internal/caller_request.h"
#include "router/internal/handler_context.h"

namespace bamboomount {

// One call of a plain service. Calls that are not safe to repeat run at most
// once: they hold a claim before the first byte is sent and are never sent
// again after a failure that leaves their effect unknown.
class ServiceExchange {
 public:
  ServiceExchange(HandlerContext& context,
                  CallerRequest& request,
                  RunningRequest& running,
                  CallerReply& reply,
                  std::shared_ptr<const ServiceConfig> config,
                  RouteRule route);

  // Runs until the caller has the response or an error.
  asio::awaitable<void> Run();

 private:
  asio::awaitable<void> RunNonIdempotent();
  asio::awaitable<Result<ClaimOutcome>> AcquireClaim();
  asio::awaitable<void> RunWithClaim(const Claim& claim);
  asio::awaitable<void> UpdateClaim(const ClaimUpdate& update);
  // Sends the call, on several backend servers if that is allowed.
  asio::awaitable<Result<StoredResponse>> CallWithRetries();
  asio::awaitable<Result<StoredResponse>> RunAttempt(const Slot& slot);
  asio::awaitable<Result<StoredResponse>> CallBackend(
      BackendCall& call,
      const BackendRule& backend,
      const TraceContext& trace);
  asio::awaitable<void> ReplyWithResponse(const StoredResponse& response,
                                          bool replayed);
  asio::awaitable<void> ReplyWithError(const Error& error);

  HandlerContext& context_;
  CallerRequest& request_;
  RunningRequest& running_;
  CallerReply& reply_;
  const std::shared_ptr<const ServiceConfig> config_;
  const RouteRule route_;
  std::vector<BackendId> excluded_backends_;
  bool may_have_run_ = false;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_SERVICE_EXCHANGE_H_
