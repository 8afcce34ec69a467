#ifndef GATEWAY_MEMBERSHIP_STATE_FRESHNESS_H_
#define GATEWAY_MEMBERSHIP_STATE_FRESHNESS_H_

#include <optional>
#include <set>

#include "gateway/boot_clock.h"

namespace bamboomount {

// Tracks when a copy of a store table, such as the configuration in force, was
// last known to be current. Not thread-safe.
//
// The store produced a response at some time between the sending of the call
// and the arrival of the response, which is a wide interval for a long poll.
// The store's steady clock in each response narrows it. An earlier response
// with store time s0 to a call sent at t0 shows that the store's clock read s0
// at t0 or later, so a response with store time s was produced at t0 + (s - s0)
// or later. That time is taken as the time of confirmation, which is therefore
// never too late.
class StateFreshness {
 public:
  // Longer than an outage of the store takes to be noticed and reported.
  static constexpr Millis kHistory{10000};

  // Records the store's steady clock from the response to a call that was sent
  // at `sent` and did not wait in the store.
  void RecordStoreTime(Instant sent, Millis store_time);
  // Records a response, also of a long poll, that confirms the state as
  // current.
  void Confirm(Instant sent, Millis store_time);

  // Records that another instance with the same state has confirmed it as
  // current at the store's time `store_time`. Ignored before the first response
  // of the store, and if that time is later than `now`.
  void ConfirmByPeer(Millis store_time, Instant now);
  // The store's clock at the last confirmation; empty if there was none.
  std::optional<Millis> ConfirmedStoreTime() const {
    return confirmed_store_time_;
  }

  // The local time as of which the state was last confirmed; empty if it never
  // was.
  std::optional<Instant> ConfirmedAt() const { return confirmed_; }

  // Whether the state was confirmed while the store's clock read a time after
  // `from` and before `to`. Covers the last kHistory before the last
  // confirmation.
  bool WasConfirmedBetween(Millis from, Millis to) const;

  // Time since the last confirmation; empty if there was none.
  std::optional<Millis> Age(Instant now) const;
  // Whether the last confirmation is at most `limit` ago.
  bool IsConfirmedWithin(Millis limit, Instant now) const;
  // The local time at which the store's clock read `store_time`, early by at
  // most one call's duration; empty before the first response.
  std::optional<Instant> LocalTime(Millis store_time) const;
  // The store's steady clock at `now`, ahead by at most one call's duration;
  // empty before the first response.
  std::optional<Millis> StoreTimeAt(Instant now) const;

 private:
  struct Anchor {
    Instant sent;
    Millis store_time;
  };

  // Makes a response the anchor if it bounds the store's clock more tightly, or
  // if the store's clock was restarted.
  void TightenAnchor(Instant sent, Millis store_time);
  void RecordConfirmed(Instant confirmed_at, Millis store_time);
  // The earliest local time at which the store's clock can have read
  // `store_time`. Requires an anchor.
  Instant EarliestLocalTime(Millis store_time) const;

  // The response that bounds the store's clock most tightly.
  std::optional<Anchor> anchor_;
  std::optional<Instant> confirmed_;
  std::optional<Millis> confirmed_store_time_;
  // Store times of the confirmations within kHistory.
  std::set<Millis> history_;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_STATE_FRESHNESS_H_
