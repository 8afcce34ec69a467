#include "gateway/membership/state_freshness.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Limits the error from clock drift, 100 ppm between the two clocks, to 6 ms.
constexpr Millis kAnchorLifetime{60000};

}  // namespace

void StateFreshness::RecordStoreTime(Instant sent, Millis store_time) {
  if (anchor_ && sent - anchor_->sent > kAnchorLifetime)
    anchor_.reset();
  TightenAnchor(sent, store_time);
}

void StateFreshness::Confirm(Instant sent, Millis store_time) {
  // Not RecordStoreTime(), which may drop the anchor: a long poll bounds the
  // store's clock only loosely and must not replace the anchor of a short call.
  TightenAnchor(sent, store_time);
  const bool restarted =
      !history_.empty() && store_time + kHistory < *history_.rbegin();
  if (restarted)
    history_.clear();
  RecordConfirmed(std::max(sent, EarliestLocalTime(store_time)), store_time);
}

void StateFreshness::ConfirmByPeer(Millis store_time, Instant now) {
  // A time in the future is from before a restart of the store's clock.
  if (anchor_ && EarliestLocalTime(store_time) <= now)
    RecordConfirmed(EarliestLocalTime(store_time), store_time);
}

void StateFreshness::TightenAnchor(Instant sent, Millis store_time) {
  const bool restarted = anchor_ && store_time < anchor_->store_time;
  if (!anchor_ || restarted || sent > EarliestLocalTime(store_time))
    anchor_ = Anchor{sent, store_time};
}

void StateFreshness::RecordConfirmed(Instant confirmed_at, Millis store_time) {
  history_.insert(store_time);
  history_.erase(history_.begin(),
                 history_.lower_bound(*history_.rbegin() - kHistory));
  if (confirmed_ && confirmed_at <= *confirmed_)
    return;
  confirmed_ = confirmed_at;
  confirmed_store_time_ = store_time;
}

Instant StateFreshness::EarliestLocalTime(Millis store_time) const {
  return anchor_->sent + (store_time - anchor_->store_time);
}

bool StateFreshness::WasConfirmedBetween(Millis from, Millis to) const {
  const auto next = history_.upper_bound(from);
  return next != history_.end() && *next < to;
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
