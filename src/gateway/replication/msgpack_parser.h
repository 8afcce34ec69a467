#ifndef GATEWAY_REPLICATION_MSGPACK_PARSER_H_
#define GATEWAY_REPLICATION_MSGPACK_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace bamboomount {

// Arrays and maps of a message may be nested this deep. The messages of
// instances need less.
inline constexpr std::size_t kMaxMsgpackDepth = 32;

// Parses a MessagePack message. Throws std::runtime_error if it is malformed,
// has a number that is not whole, or is nested deeper than kMaxMsgpackDepth:
// the JSON library calls itself for each level, and a datagram has room for
// more levels than the stack.
nlohmann::json ParseMsgpack(const std::uint8_t* data, std::size_t size);

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_MSGPACK_PARSER_H_
