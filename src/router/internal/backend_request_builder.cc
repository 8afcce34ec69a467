#include "router/internal/backend_request_builder.h"

#include <array>
#include <utility>

namespace bamboomount {
namespace {

constexpr std::array kCopiedHeaders = {http::field::content_type,
                                       http::field::accept};

}  // namespace

BackendRequestBuilder::BackendRequestBuilder(
    const CallerRequest& request,
    const std::string& backend_address) {
  request_.version(11);
  request_.method(request.http.method());
  request_.target(request.http.target());
  request_.set(http::field::host, backend_address);
  request_.set(http::field::connection, "close");
  request_.set("X-Request-Id", request.id.value());
  for (const http::field name : kCopiedHeaders) {
    const auto found = request.http.find(name);
    if (found == request.http.end())
      continue;
    request_.set(name, found->value());
  }
}

BackendRequestBuilder& BackendRequestBuilder::Credential(
    const std::string& credential) {
  request_.set("X-Bamboomount-Credential", credential);
  return *this;
}

BackendRequestBuilder& BackendRequestBuilder::Priority(Tier tier) {
  request_.set("X-Priority", std::to_string(tier.value()));
  return *this;
}

BackendRequestBuilder& BackendRequestBuilder::Trace(
    const TraceContext& context) {
  request_.set("traceparent", context.ToHeader());
  return *this;
}

BackendRequestBuilder& BackendRequestBuilder::ResumeOffset(
    Tokens delivered_tokens) {
  if (delivered_tokens > Tokens(0))
    request_.set("X-Resume-Offset", std::to_string(delivered_tokens.value()));
  return *this;
}

BackendRequestBuilder& BackendRequestBuilder::ExpectedVersion(
    const SoftwareVersion& version) {
  if (!version.empty())
    request_.set("X-Expected-Engine-Version", version.value());
  return *this;
}

BackendRequestBuilder& BackendRequestBuilder::Body(std::string body) {
  request_.body() = std::move(body);
  return *this;
}

BackendRequest BackendRequestBuilder::Build() {
  request_.prepare_payload();
  return std::move(request_);
}

}  // namespace bamboomount
