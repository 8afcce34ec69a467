#ifndef GATEWAY_STREAMS_STREAM_ORIGIN_DIRECTORY_H_
#define GATEWAY_STREAMS_STREAM_ORIGIN_DIRECTORY_H_

#include <functional>
#include <optional>

#include "base/base.h"

namespace bamboomount {

// Where a stream began: the pool and the software version of the backend server
// that sent its first event. Only servers of that version may continue it.
struct StreamOrigin {
  PoolId pool;
  SoftwareVersion version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

// Finds out where the streams that callers resume have begun. A stream is named
// by the id of the caller's request that brought its first event.
class StreamOriginDirectory {
 public:
  using Callback = std::function<void(std::optional<StreamOrigin>)>;

  virtual ~StreamOriginDirectory() = default;

  // Records the origin of a stream before its first event is forwarded.
  virtual void Record(const RequestId& stream, const StreamOrigin& origin) = 0;
  // Calls `done` once, possibly before it returns. The origin is empty if it is
  // not known; the stream must not be continued then. `pool` is the only one to
  // which the route leads, empty if there are several.
  virtual void Find(const RequestId& stream,
                    const PoolId& pool,
                    Callback done) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_STREAM_ORIGIN_DIRECTORY_H_
