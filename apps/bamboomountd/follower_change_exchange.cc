#include "follower_change_exchange.h"

#include <utility>

#include "events.h"

namespace bamboomount {

SteadyTime BootSteadyNow() {
  return SteadyTime(
      std::chrono::duration_cast<SteadyTime::duration>(BootTimeNow()));
}

ChangeSequence FollowerChangeExchange::sequence() const {
  return holder_.current()->sequence;
}

std::optional<SteadyTime> FollowerChangeExchange::confirmed_at() const {
  const auto age = follower_.confirmation_age();
  if (!age)
    return std::nullopt;
  return BootSteadyNow() -
         std::chrono::duration_cast<SteadyTime::duration>(*age);
}

std::vector<EncodedChange> FollowerChangeExchange::ChangesAfter(
    ChangeSequence after,
    std::size_t max_bytes) {
  std::vector<EncodedChange> encoded;
  std::size_t bytes = 0;
  for (const Change& change : follower_.ChangesAfter(after)) {
    std::string text = EncodeChange(change);
    bytes += text.size();
    if (bytes > max_bytes && !encoded.empty())
      break;
    encoded.push_back({change.sequence, std::move(text)});
  }
  return encoded;
}

void FollowerChangeExchange::OnChanges(
    const std::vector<EncodedChange>& changes) {
  for (const EncodedChange& encoded : changes) {
    const auto change = DecodeChange(encoded.text);
    if (!change) {
      Log(kPeerChangeMalformed, {{"error", change.error().message}});
      return;
    }
    follower_.OfferChange(change.value());
  }
}

void FollowerChangeExchange::OnPeerConfirmation(ChangeSequence sequence,
                                                SteadyTime confirmed_at) {
  // An empty instance id passes the confirmation on without counting a peer
  // as heard; that comes from the roster.
  follower_.OnPeerReport(
      InstanceId(), {sequence, BootTime(0)},
      std::chrono::duration_cast<BootTime>(confirmed_at.time_since_epoch()));
}

}  // namespace bamboomount
