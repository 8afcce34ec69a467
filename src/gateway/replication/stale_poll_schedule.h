#ifndef GATEWAY_REPLICATION_STALE_POLL_SCHEDULE_H_
#define GATEWAY_REPLICATION_STALE_POLL_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "gateway/boot_clock.h"

namespace bamboomount {

// Decides when an instance whose replicas are stale polls the store.
//
// In an outage of the store all instances become stale together, and a response
// to one of them reaches the others by gossip. So an instance polls the less
// often the more peers it hears from, and the polls of a large fleet add up to
// a bounded rate. An instance that hears from few peers must rely on itself: it
// polls at once and then with exponential back-off. Not thread-safe.
class StalePollSchedule {
 public:
  static constexpr Millis kInitialBackoff{300};
  static constexpr Millis kMaxBackoff{2400};
  // Peers count that were heard from within this time, directly or through
  // others.
  static constexpr Millis kHeardPeriod{1000};
  // With at most this many peers, polls are not spread.
  static constexpr std::size_t kUnspreadPeers = 16;
  // Time over which a poll is spread for each further peer.
  static constexpr Millis kSpreadPerPeer{50};

  // `seed` determines the spread.
  explicit StalePollSchedule(std::uint32_t seed) : random_(seed) {}

  // Called while the replicas are fresh. Resets the back-off.
  void OnFresh();
  // Whether to poll at `now`, while the replicas are stale. If true, the next
  // poll is scheduled from `now` on.
  bool IsDue(std::size_t peers_heard, Instant now);

 private:
  Millis Spread(std::size_t peers_heard) const;
  Millis Random(Millis min, Millis max);

  std::optional<Instant> next_poll_;
  Millis backoff_{kInitialBackoff};
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_STALE_POLL_SCHEDULE_H_
