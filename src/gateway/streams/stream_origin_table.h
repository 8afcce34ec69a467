#ifndef GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_
#define GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/streams/stream_origin_directory.h"

namespace bamboomount {

// The origins of streams that this instance knows of. A stream is forgotten
// kStreamLifetime after it was last recorded. Not thread-safe.
class StreamOriginTable {
 public:
  // Longer than any caller waits for the end of a stream, counted from its
  // first event.
  static constexpr Millis kStreamLifetime{30'000};

  // Bounds the memory that callers can fill, since they choose the ids. A
  // stream with a longer id is not recorded, and the oldest one gives way to a
  // new one.
  static constexpr std::size_t kMaxIdBytes = 256;
  static constexpr std::size_t kMaxRecords = 10'000;

  struct Entry {
    RequestId stream;
    StreamOrigin origin;
  };

  // The first origin of a stream stands; later ones only extend its lifetime.
  void Record(const RequestId& stream, const StreamOrigin& origin, Instant now);
  std::optional<StreamOrigin> Find(const RequestId& stream, Instant now) const;
  // Number of streams that are kept.
  std::size_t size() const { return recorded_.size(); }

 private:
  struct Recorded {
    StreamOrigin origin;
    Instant at;
  };

  void Forget(Instant now);
  void ForgetOldest();

  std::unordered_map<RequestId, Recorded> recorded_;
  // In order of time; a stream may occur several times.
  std::deque<std::pair<Instant, RequestId>> by_time_;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_
