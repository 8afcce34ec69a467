#ifndef GATEWAY_STREAMS_LOCAL_STREAM_ORIGINS_H_
#define GATEWAY_STREAMS_LOCAL_STREAM_ORIGINS_H_

#include <optional>

#include "gateway/gateway_state.h"
#include "gateway/streams/stream_origin_directory.h"

namespace bamboomount {

// Origins of streams as far as this instance can tell alone and at once: those
// that it has recorded. Not thread-safe.
class LocalStreamOrigins : public StreamOriginDirectory {
 public:
  // `state` must outlive this object.
  explicit LocalStreamOrigins(GatewayState& state) : state_(state) {}

  void Record(const RequestId& stream, const StreamOrigin& origin) override;
  void Find(const RequestId& stream,
            const PoolId& pool,
            Callback done) override;

  // The origin of the stream if it was recorded here.
  std::optional<StreamOrigin> FindRecorded(const RequestId& stream,
                                           Instant now) const;
  // The origin that all streams of the pool had that began before the list of
  // servers was confirmed last; empty if there may have been several, or if
  // that was longer ago than PoolVersionHistory::kMaxUnconfirmed.
  std::optional<StreamOrigin> OnlyOrigin(const PoolId& pool, Instant now) const;

 private:
  GatewayState& state_;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_LOCAL_STREAM_ORIGINS_H_
