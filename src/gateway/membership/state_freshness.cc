#include "gateway/membership/state_freshness.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Bounds the drift between the two clocks, 100 parts in a million, to 6 ms.
constexpr Millis kAnchorLifetime{60000};

}  // namespace

void StateFreshness::NoteStoreTime(Instant sent, Millis store_time) {
  const bool restarted = anchor_ && store_time < anchor_->store_time;
  if (!anchor_ || restarted || sent - anchor_->sent > kAnchorLifetime ||
      sent > TimeOf(store_time))
    anchor_ = Anchor{sent, store_time};
}

void StateFreshness::Confirm(Instant sent, Millis store_time) {
  NoteStoreTime(sent, store_time);
  const Instant made = std::max(sent, TimeOf(store_time));
  confirmed_ = confirmed_ ? std::max(*confirmed_, made) : made;
}

Instant StateFreshness::TimeOf(Millis store_time) const {
  return anchor_->sent + (store_time - anchor_->store_time);
}

std::optional<Millis> StateFreshness::Age(Instant now) const {
  if (!confirmed_)
    return std::nullopt;
  return ToMillis(now - *confirmed_);
}

bool StateFreshness::IsWithin(Millis limit, Instant now) const {
  return confirmed_ && now - *confirmed_ <= limit;
}

std::optional<Millis> StateFreshness::StoreTimeAt(Instant now) const {
  if (!anchor_)
    return std::nullopt;
  return anchor_->store_time + ToMillis(now - anchor_->sent);
}

}  // namespace bamboomount
