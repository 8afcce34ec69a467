#include "gateway/streams/local_stream_origins.h"

namespace bamboomount {

void LocalStreamOrigins::Record(const RequestId& stream,
                                const StreamOrigin& origin) {
  state_.stream_origins().Record(stream, origin, BootClock::now());
}

void LocalStreamOrigins::Find(const RequestId& stream,
                              const PoolId& /*pool*/,
                              Callback done) {
  done(FindRecorded(stream, BootClock::now()));
}

std::optional<StreamOrigin> LocalStreamOrigins::FindRecorded(
    const RequestId& stream,
    Instant now) const {
  return state_.stream_origins().Find(stream, now);
}

std::optional<StreamOrigin> LocalStreamOrigins::OnlyOrigin(const PoolId& pool,
                                                           Instant now) const {
  if (!state_.BackendVersionsAreCurrent(now))
    return std::nullopt;
  const auto version = state_.pool_versions().OnlyVersion(pool, now);
  if (!version)
    return std::nullopt;
  return StreamOrigin{pool, *version};
}

}  // namespace bamboomount
