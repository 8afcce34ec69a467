#ifndef PEER_CHANGE_EXCHANGE_H_
#define PEER_CHANGE_EXCHANGE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "peer/messages.h"

namespace bamboomount {

// The change log of this process as peers exchange it. Calls must not block
// on the store, since they run on the thread that receives messages.
// Thread-safe.
class ChangeExchange {
 public:
  virtual ~ChangeExchange() = default;

  // Sequence of the control state in force.
  virtual ChangeSequence sequence() const = 0;
  // When the store last confirmed to this process itself that sequence() is
  // the head of the log; empty if it never did.
  virtual std::optional<SteadyTime> confirmed_at() const = 0;
  // The changes that follow `after`, ascending without gaps, at most about
  // `max_bytes` of text but at least one if there is any.
  virtual std::vector<EncodedChange> ChangesAfter(ChangeSequence after,
                                                  std::size_t max_bytes) = 0;
  // Changes from a peer, ascending. Known ones and gaps may occur.
  virtual void OnChanges(const std::vector<EncodedChange>& changes) = 0;
  // A peer whose control state has `sequence` got it confirmed by the store at
  // `confirmed_at` or later.
  virtual void OnPeerConfirmation(ChangeSequence sequence,
                                  SteadyTime confirmed_at) = 0;
};

}  // namespace bamboomount

#endif  // PEER_CHANGE_EXCHANGE_H_
