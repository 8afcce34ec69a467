#ifndef ROUTER_INTERNAL_REQUEST_HANDLER_H_
#define ROUTER_INTERNAL_REQUEST_HANDLER_H_

#include <memory>
#include <string>

#include "router/internal/authenticator.h"
#include "router/internal/caller_reply.h"
#include "router/internal/caller_request.h"
#include "router/internal/handler_context.h"

namespace bamboomount {

// Finds what serves a request, checks the key and runs it.
class RequestHandler {
 public:
  explicit RequestHandler(HandlerContext& context);

  // Takes the content of `http`; runs until `reply` has been used.
  asio::awaitable<void> Handle(HttpRequest& http, CallerReply& reply);

 private:
  using Handler = asio::awaitable<void> (RequestHandler::*)(CallerRequest&,
                                                            CallerReply&);
  struct FixedRoute {
    http::verb method;
    std::string_view path;
    Handler handler;
  };
  static const FixedRoute kFixedRoutes[];

  CallerRequest MakeCallerRequest(HttpRequest& http) const;
  Handler FindHandler(const CallerRequest& request) const;

  asio::awaitable<void> ReplyHealth(CallerRequest& request, CallerReply& reply);
  asio::awaitable<void> ReplyInstances(CallerRequest& request,
                                       CallerReply& reply);
  asio::awaitable<void> ReplyModels(CallerRequest& request, CallerReply& reply);
  asio::awaitable<void> HandleChat(CallerRequest& request, CallerReply& reply);
  asio::awaitable<void> HandleService(CallerRequest& request,
                                      CallerReply& reply);

  // Sets the identity of `request`; replies and returns false on refusal.
  asio::awaitable<bool> Authenticate(CallerRequest& request,
                                     CallerReply& reply);
  asio::awaitable<std::shared_ptr<RunningRequest>> RegisterRunningRequest(
      const CallerRequest& request);

  HandlerContext& context_;
  Authenticator authenticator_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_REQUEST_HANDLER_H_
