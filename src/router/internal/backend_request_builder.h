#ifndef ROUTER_INTERNAL_BACKEND_REQUEST_BUILDER_H_
#define ROUTER_INTERNAL_BACKEND_REQUEST_BUILDER_H_

#include <string>

#include "router/internal/backend_call.h"
#include "router/internal/caller_request.h"

namespace bamboomount {

// Builds the request that a backend server gets. Of the caller's headers only
// Content-Type and Accept are copied, so that no credential can pass through.
class BackendRequestBuilder {
 public:
  BackendRequestBuilder(const CallerRequest& request,
                        const std::string& backend_address);

  BackendRequestBuilder& Credential(const std::string& credential);
  BackendRequestBuilder& Priority(Tier tier);
  BackendRequestBuilder& Trace(const TraceContext& context);
  // Tokens that the caller has already; the stream continues after them.
  BackendRequestBuilder& ResumeOffset(Tokens delivered_tokens);
  BackendRequestBuilder& Body(std::string body);

  BackendRequest Build();

 private:
  BackendRequest request_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_BACKEND_REQUEST_BUILDER_H_
