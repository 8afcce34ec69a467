#ifndef PEER_CHANGE_EXCHANGE_H_
#define PEER_CHANGE_EXCHANGE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "peer/messages.h"

namespace bamboomount {

// Access of the peer library to the change log of this process. Implementations
// must be thread-safe and must not block on the store, because calls run on the
// thread that receives peer messages.
class ChangeExchange {
 public:
  virtual ~ChangeExchange() = default;

  // Sequence of the last change applied to the control state.
  virtual ChangeSequence sequence() const = 0;
  // When the store last confirmed, to this process directly, that sequence() is
  // the head of the log; empty if it has never done so.
  virtual std::optional<SteadyTime> confirmed_at() const = 0;
  // Returns the changes after `after`, in ascending order without gaps. Returns
  // about `max_bytes` of text at most, but at least one change if there is any.
  virtual std::vector<EncodedChange> ChangesAfter(ChangeSequence after,
                                                  std::size_t max_bytes) = 0;
  // Called with changes from a peer, in ascending order. They may include known
  // changes and may have gaps.
  virtual void OnChanges(const std::vector<EncodedChange>& changes) = 0;
  // Called when a peer reports that the store confirmed its control state,
  // which has `sequence`, at `confirmed_at` or later.
  virtual void OnPeerConfirmation(ChangeSequence sequence,
                                  SteadyTime confirmed_at) = 0;
};

}  // namespace bamboomount

#endif  // PEER_CHANGE_EXCHANGE_H_
