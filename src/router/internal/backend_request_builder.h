#ifndef ROUTER_INTERNAL_BACKEND_REQUEST_BUILDER_H_
#define ROUTER_INTERNAL_BACKEND_REQUEST_BUILDER_H_

#include <string>

#include "router/internal/backend_call.h"
#include "router/internal/caller_request.h"

namespace bamboomount {

// Builds the request to a backend server from a caller's request. Of the
// caller's headers only Content-Type and Accept are copied, so that no
// credential of the caller reaches the backend server.
class BackendRequestBuilder {
 public:
  BackendRequestBuilder(const CallerRequest& request,
                        const std::string& backend_address);

  BackendRequestBuilder& Credential(const std::string& credential);
  BackendRequestBuilder& Priority(Tier tier);
  BackendRequestBuilder& Trace(const TraceContext& context);
  // Asks the engine to resume its stream after the tokens that the caller
  // already has. No effect for 0 tokens.
  BackendRequestBuilder& ResumeOffset(Tokens delivered_tokens);
  // Asks the engine to refuse the request if it has another version. No effect
  // for an empty version.
  BackendRequestBuilder& ExpectedVersion(const SoftwareVersion& version);
  BackendRequestBuilder& Body(std::string body);

  BackendRequest Build();

 private:
  BackendRequest request_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_BACKEND_REQUEST_BUILDER_H_
