#ifndef GATEWAY_MEMBERSHIP_STATE_FRESHNESS_H_
#define GATEWAY_MEMBERSHIP_STATE_FRESHNESS_H_

#include <optional>

#include "gateway/boot_clock.h"

namespace bamboomount {

// The moment at which the configuration in force was last known to be the
// store's newest.
//
// An answer of the store was made at some moment between the call and its
// arrival; for a call that waits for news that is a long time. The store's
// steady clock in each answer narrows it: an earlier answer with store time s0,
// whose call was sent at t0, shows that the store's clock read s0 at t0 or
// later, so that an answer with store time s was made at t0 + (s - s0) or
// later.
class StateFreshness {
 public:
  // Notes the store's steady clock in an answer to a call that was sent at
  // `sent` and answered at once.
  void RecordStoreTime(Instant sent, Millis store_time);
  // Notes an answer that shows the state to be the newest.
  void Confirm(Instant sent, Millis store_time);

  // Notes that another instance with the same state knew it to be the newest
  // when the store's clock read `store_time`.
  void ConfirmByPeer(Millis store_time, Instant now);
  // The store's clock at the last moment for which the state is confirmed.
  std::optional<Millis> ConfirmedStoreTime() const {
    return confirmed_store_time_;
  }

  // Time since the last moment for which the state is confirmed; empty if it
  // never was.
  std::optional<Millis> Age(Instant now) const;
  // Whether the state was confirmed within `limit`.
  bool IsConfirmedWithin(Millis limit, Instant now) const;
  // The local moment at which the store's clock read `store_time`, at most one
  // call's duration early; empty before the first answer.
  std::optional<Instant> LocalTime(Millis store_time) const;
  // The store's steady clock at `now`, at most one call's duration ahead; empty
  // before the first answer.
  std::optional<Millis> StoreTimeAt(Instant now) const;

 private:
  struct Anchor {
    Instant sent;
    Millis store_time;
  };

  // Takes an answer as the anchor if it bounds the store's clock more tightly,
  // or if the store's clock was started anew.
  void TightenAnchor(Instant sent, Millis store_time);
  void RecordConfirmed(Instant made, Millis store_time);
  // The earliest moment at which the store's clock can have read `store_time`.
  // Needs an anchor.
  Instant EarliestLocalTime(Millis store_time) const;

  // The answer that bounds the store's clock most tightly.
  std::optional<Anchor> anchor_;
  std::optional<Instant> confirmed_;
  std::optional<Millis> confirmed_store_time_;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_STATE_FRESHNESS_H_
