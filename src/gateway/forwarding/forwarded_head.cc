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

}  // namespace

std::string EncodeForwardedHead(const http::request<http::string_body>& request,
                                const ForwardingHead& head,
                                const MessageProtocol& protocol) {
  http::request_header<> header(request.base());
  header.version(kHttp11);
  RemoveHopByHopHeaders(header);
  protocol.EncodeForwardingHead(head, header);
  if (HasBody(request))
    header.set(http::field::content_length,
               std::to_string(request.body().size()));
  std::ostringstream text;
  text << header;
  return text.str();
}

}  // namespace bamboomount
