#include "gateway/replication/stale_poll_schedule.h"

#include <algorithm>

namespace bamboomount {

void StalePollSchedule::OnFresh() {
  next_poll_.reset();
  backoff_ = kInitialBackoff;
}

bool StalePollSchedule::IsDue(std::size_t peers_heard, Instant now) {
  const Millis spread = Spread(peers_heard);
  if (!next_poll_)
    next_poll_ = now + Random(Millis(0), spread);
  if (now < *next_poll_)
    return false;
  next_poll_ = now + std::max(backoff_, Random(spread / 2, spread * 3 / 2));
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  return true;
}

Millis StalePollSchedule::Spread(std::size_t peers_heard) const {
  const std::size_t spread_peers =
      std::max(peers_heard, kUnspreadPeers) - kUnspreadPeers;
  return kSpreadPerPeer * static_cast<Millis::rep>(spread_peers);
}

Millis StalePollSchedule::Random(Millis min, Millis max) {
  std::uniform_int_distribution<Millis::rep> distribution(min.count(),
                                                          max.count());
  return Millis(distribution(random_));
}

}  // namespace bamboomount
