#ifndef GATEWAY_FORWARDING_FORWARDED_HEAD_H_
#define GATEWAY_FORWARDING_FORWARDED_HEAD_H_

#include <string>

#include "gateway/forwarding/message_protocol.h"

namespace bamboomount {

// Encodes the head with which the request of a caller is sent to a backend
// server: without hop-by-hop fields, with the length of the body and with what
// `head` adds.
std::string EncodeForwardedHead(const http::request<http::string_body>& request,
                                const ForwardingHead& head,
                                const MessageProtocol& protocol);

// The same for a request that another instance sends to a backend server.
std::string EncodeRelayedHead(const http::request<http::string_body>& request,
                              const RelayingHead& head,
                              const MessageProtocol& protocol);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_FORWARDED_HEAD_H_
