#ifndef GATEWAY_STREAMS_STREAM_ORIGIN_MESSAGE_H_
#define GATEWAY_STREAMS_STREAM_ORIGIN_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/base.h"
#include "gateway/streams/stream_origin_table.h"

namespace bamboomount {

// What the sender knows of the stream that a query names.
enum class StreamOriginAnswer {
  kUnknown,
  // It has recorded the stream.
  kRecorded,
  // Every stream of the pool has begun at the same version.
  kOnlyVersion,
  // Streams of the pool may have begun at several versions.
  kSeveralVersions,
};

// A datagram from one instance to another about the origins of streams.
struct StreamOriginMessage {
  enum class Kind { kRecords, kQuery, kReply };

  Kind kind = Kind::kRecords;
  InstanceId sender;
  // Queries and replies: number of the query at the instance that asks.
  std::uint64_t query = 0;
  // Replies only.
  StreamOriginAnswer answer = StreamOriginAnswer::kUnknown;
  // Records: the streams to remember. Queries: one entry without a version.
  // Replies: one entry if the answer names a version.
  std::vector<StreamOriginTable::Entry> entries;
};

// MessagePack encoding. Decoding fails with kInternal if the data is malformed.
std::vector<std::uint8_t> EncodeStreamOriginMessage(
    const StreamOriginMessage& message);
Result<StreamOriginMessage> DecodeStreamOriginMessage(const std::uint8_t* data,
                                                      std::size_t size);
// Whether the datagram is such a message and no gossip message.
bool IsStreamOriginMessage(const std::uint8_t* data, std::size_t size);

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_STREAM_ORIGIN_MESSAGE_H_
