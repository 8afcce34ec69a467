#include "gateway/membership/state_freshness.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Bounds the drift between the two clocks, 100 parts in a million, to 6 ms.
constexpr Millis kAnchorLifetime{60000};

}  // namespace

void StateFreshness::RecordStoreTime(Instant sent, Millis store_time) {
  if (anchor_ && sent - anchor_->sent > kAnchorLifetime)
    anchor_.reset();
  TightenAnchor(sent, store_time);
}

void StateFreshness::Confirm(Instant sent, Millis store_time) {
  // Not RecordStoreTime: a call that waited says little about the store's
  // clock, and must not take the place of one that was short.
  TightenAnchor(sent, store_time);
  RecordConfirmed(std::max(sent, EarliestLocalTime(store_time)), store_time);
}

void StateFreshness::ConfirmByPeer(Millis store_time, Instant now) {
  // A moment in the future comes from before a restart of the store's clock.
  if (anchor_ && EarliestLocalTime(store_time) <= now)
    RecordConfirmed(EarliestLocalTime(store_time), store_time);
}

void StateFreshness::TightenAnchor(Instant sent, Millis store_time) {
  const bool restarted = anchor_ && store_time < anchor_->store_time;
  if (!anchor_ || restarted || sent > EarliestLocalTime(store_time))
    anchor_ = Anchor{sent, store_time};
}

void StateFreshness::RecordConfirmed(Instant made, Millis store_time) {
  if (confirmed_ && made <= *confirmed_)
    return;
  confirmed_ = made;
  confirmed_store_time_ = store_time;
}

Instant StateFreshness::EarliestLocalTime(Millis store_time) const {
  return anchor_->sent + (store_time - anchor_->store_time);
}

std::optional<Millis> StateFreshness::Age(Instant now) const {
  if (!confirmed_)
    return std::nullopt;
  return ToMillis(now - *confirmed_);
}

bool StateFreshness::IsConfirmedWithin(Millis limit, Instant now) const {
  return confirmed_ && now - *confirmed_ <= limit;
}

std::optional<Instant> StateFreshness::LocalTime(Millis store_time) const {
  if (!anchor_)
    return std::nullopt;
  return EarliestLocalTime(store_time);
}

std::optional<Millis> StateFreshness::StoreTimeAt(Instant now) const {
  if (!anchor_)
    return std::nullopt;
  return anchor_->store_time + ToMillis(now - anchor_->sent);
}

}  // namespace bamboomount
