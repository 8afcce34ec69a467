#include "gateway/streams/stream_origin_table.h"

namespace bamboomount {

void StreamOriginTable::Record(const RequestId& stream,
                               const StreamOrigin& origin,
                               Instant now) {
  Forget(now);
  const auto [entry, is_new] =
      recorded_.try_emplace(stream, Recorded{origin, now});
  entry->second.at = now;
  by_time_.emplace_back(now, stream);
}

std::optional<StreamOrigin> StreamOriginTable::Find(const RequestId& stream,
                                                    Instant now) const {
  const auto entry = recorded_.find(stream);
  if (entry == recorded_.end() || now - entry->second.at >= kStreamLifetime)
    return std::nullopt;
  return entry->second.origin;
}

void StreamOriginTable::Forget(Instant now) {
  while (!by_time_.empty() && now - by_time_.front().first >= kStreamLifetime) {
    const auto entry = recorded_.find(by_time_.front().second);
    if (entry != recorded_.end() && now - entry->second.at >= kStreamLifetime)
      recorded_.erase(entry);
    by_time_.pop_front();
  }
}

}  // namespace bamboomount
