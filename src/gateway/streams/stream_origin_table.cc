#include "gateway/streams/stream_origin_table.h"

namespace bamboomount {

void StreamOriginTable::Record(const RequestId& stream,
                               const StreamOrigin& origin,
                               Instant now) {
  Forget(now);
  if (stream.value().size() > kMaxIdBytes)
    return;
  if (by_time_.size() >= kMaxRecords)
    ForgetOldest();
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
  while (!by_time_.empty() && now - by_time_.front().first >= kStreamLifetime)
    ForgetOldest();
}

void StreamOriginTable::ForgetOldest() {
  const auto& [at, stream] = by_time_.front();
  const auto entry = recorded_.find(stream);
  if (entry != recorded_.end() && entry->second.at == at)
    recorded_.erase(entry);
  by_time_.pop_front();
}

}  // namespace bamboomount
