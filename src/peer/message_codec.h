#ifndef PEER_MESSAGE_CODEC_H_
#define PEER_MESSAGE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "peer/messages.h"

namespace bamboomount {

// Largest encoded message. A configuration text of a few hundred kilobytes must
// fit into one ChangePushMessage.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{4} << 20;

struct DecodedMessage {
  InstanceId sender;
  PeerMessage message;
};

// msgpack bytes of `message`: [format version, kind, sender, [fields]].
std::string EncodeMessage(const InstanceId& sender, const PeerMessage& message);

// Fails with kBadRequest for bytes that are not one whole message, for values
// out of range and for unknown kinds or format versions. Additional trailing
// fields, as a newer version may send them, are ignored.
Result<DecodedMessage> DecodeMessage(std::string_view bytes);

}  // namespace bamboomount

#endif  // PEER_MESSAGE_CODEC_H_
