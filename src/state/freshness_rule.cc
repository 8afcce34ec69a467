#include "state/freshness_rule.h"

#include <algorithm>
#include <utility>

namespace bamboomount {

std::string_view ToString(Freshness freshness) {
  switch (freshness) {
    case Freshness::kConfirmed:
      return "confirmed";
    case Freshness::kMajority:
      return "majority";
    case Freshness::kStale:
      return "stale";
  }
  return "stale";
}

void FreshnessRule::OnStoreAnswered(ChangeSequence head, BootTime asked_at) {
  store_silent_ = false;
  AddConfirmation({head, asked_at});
}

void FreshnessRule::OnStoreSilent() {
  store_silent_ = true;
}

void FreshnessRule::OnInstanceList(std::set<InstanceId> instances) {
  instances_ = std::move(instances);
  std::erase_if(heard_, [&](const auto& peer_heard) {
    return !instances_.contains(peer_heard.first);
  });
}

void FreshnessRule::OnPeerHeard(const InstanceId& peer,
                                const PeerReport& state,
                                BootTime not_sent_before) {
  highest_ = std::max(highest_, state.sequence);
  if (state.confirmation_age)
    AddConfirmation(
        {state.sequence, not_sent_before - *state.confirmation_age});
  if (!instances_.contains(peer))
    return;
  Heard& heard = heard_[peer];
  heard.sequence = std::max(heard.sequence, state.sequence);
  heard.at = std::max(heard.at, not_sent_before);
}

Freshness FreshnessRule::Check(ChangeSequence sequence, BootTime now) const {
  const auto age = ConfirmationAge(sequence, now);
  if (age && *age <= window_)
    return Freshness::kConfirmed;
  if (store_silent_ && HasMajority(sequence, now))
    return Freshness::kMajority;
  return Freshness::kStale;
}

std::optional<BootTime> FreshnessRule::ConfirmationAge(ChangeSequence sequence,
                                                       BootTime now) const {
  auto next = confirmations_.upper_bound(sequence);
  if (next == confirmations_.begin())
    return std::nullopt;
  return now - std::prev(next)->second;
}

// Keeps times rising with sequences: an entry says nothing new next to one of
// a lower or equal sequence with a later time.
void FreshnessRule::AddConfirmation(Confirmation confirmation) {
  highest_ = std::max(highest_, confirmation.sequence);
  auto next = confirmations_.upper_bound(confirmation.sequence);
  if (next != confirmations_.begin() &&
      std::prev(next)->second >= confirmation.at)
    return;
  confirmations_[confirmation.sequence] = confirmation.at;
  while (next != confirmations_.end() && next->second <= confirmation.at)
    next = confirmations_.erase(next);
  // Entries out of the window give no freshness; only the newest is of use.
  while (confirmations_.size() > 1 && confirmations_.begin()->second + window_ <
                                          confirmations_.rbegin()->second)
    confirmations_.erase(confirmations_.begin());
}

// A state that is known to be behind does not count as fresh through a
// majority: the change that it lacks may be a withdrawal.
bool FreshnessRule::HasMajority(ChangeSequence sequence, BootTime now) const {
  if (sequence < highest_)
    return false;
  std::size_t count = instances_.contains(self_) ? 1 : 0;
  for (const auto& [peer, heard] : heard_) {
    if (peer == self_ || now - heard.at > window_)
      continue;
    ++count;
  }
  return count * 2 > instances_.size();
}

}  // namespace bamboomount
