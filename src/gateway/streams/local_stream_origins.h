#ifndef GATEWAY_STREAMS_LOCAL_STREAM_ORIGINS_H_
#define GATEWAY_STREAMS_LOCAL_STREAM_ORIGINS_H_

#include <optional>

#include "gateway/gateway_state.h"
#include "gateway/streams/stream_origin_directory.h"

namespace bamboomount {

// Origins of streams as far as this instance can tell alone: those that it has
// recorded, and those of pools that have had only one software version for
// longer than a stream lasts. Not thread-safe.
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
  // The origin that all streams of the pool must have; empty if there may be
  // several.
  std::optional<StreamOrigin> OnlyOrigin(const PoolId& pool, Instant now) const;

 private:
  GatewayState& state_;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_LOCAL_STREAM_ORIGINS_H_
