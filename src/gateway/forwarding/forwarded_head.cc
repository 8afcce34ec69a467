#include "gateway/forwarding/forwarded_head.h"

#include <sstream>

#include "gateway/forwarding/hop_by_hop_headers.h"

namespace bamboomount {
namespace {

constexpr unsigned kHttp11 = 11;

bool HasBody(const http::request<http::string_body>& message) {
  return !message.body().empty() || message.chunked() ||
         message.find(http::field::content_length) != message.end();
}

// Encodes the request's header after `add_fields` has changed its fields.
template <typename AddFields>
std::string EncodeHead(const http::request<http::string_body>& request,
                       AddFields add_fields) {
  http::request_header<> header(request.base());
  header.version(kHttp11);
  RemoveHopByHopHeaders(header);
  add_fields(header);
  if (HasBody(request))
    header.set(http::field::content_length,
               std::to_string(request.body().size()));
  std::ostringstream text;
  text << header;
  return text.str();
}

}  // namespace

std::string EncodeForwardedHead(const http::request<http::string_body>& request,
                                const ForwardingHead& head,
                                const MessageProtocol& protocol) {
  return EncodeHead(request, [&](http::fields& fields) {
    protocol.EncodeForwardingHead(head, fields);
  });
}

std::string EncodeRelayedHead(const http::request<http::string_body>& request,
                              const RelayingHead& head,
                              const MessageProtocol& protocol) {
  return EncodeHead(request, [&](http::fields& fields) {
    protocol.EncodeRelayingHead(head, fields);
  });
}

}  // namespace bamboomount
