#ifndef PEER_MESSAGE_CODEC_H_
#define PEER_MESSAGE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "peer/messages.h"

namespace bamboomount {

// Maximum size of an encoded message in bytes. A configuration text of several
// hundred kilobytes must fit into one ChangePushMessage.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20;

// A received message with the instance that sent it.
struct DecodedMessage {
  InstanceId sender;
  PeerMessage message;
};

// Encodes `message` in msgpack as [format version, kind, sender, [fields]].
std::string EncodeMessage(const InstanceId& sender, const PeerMessage& message);

// Decodes one message. Fails with kBadRequest if the bytes are not exactly one
// complete message, if a value is out of range, or if the kind or the format
// version is unknown. Additional trailing fields, which a newer version may
// send, are ignored.
Result<DecodedMessage> DecodeMessage(std::string_view bytes);

}  // namespace bamboomount

#endif  // PEER_MESSAGE_CODEC_H_
