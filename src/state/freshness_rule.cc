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

void FreshnessRule::OnStoreResponse(ChangeSequence head,
                                    BootTime requested_at) {
  store_unavailable_ = false;
  AddConfirmation({head, requested_at});
}

void FreshnessRule::OnStoreUnavailable() {
  store_unavailable_ = true;
}

void FreshnessRule::OnInstanceList(std::set<InstanceId> instances) {
  instances_ = std::move(instances);
  std::erase_if(last_contacts_, [&](const auto& peer_contact) {
    return !instances_.contains(peer_contact.first);
  });
}

void FreshnessRule::OnPeerReport(const InstanceId& peer,
                                 const PeerReport& report,
                                 BootTime earliest_sent_at) {
  highest_known_sequence_ = std::max(highest_known_sequence_, report.sequence);
  if (report.confirmation_age)
    AddConfirmation(
        {report.sequence, earliest_sent_at - *report.confirmation_age});
  if (!instances_.contains(peer))
    return;
  PeerContact& contact = last_contacts_[peer];
  contact.sequence = std::max(contact.sequence, report.sequence);
  contact.time = std::max(contact.time, earliest_sent_at);
}

Freshness FreshnessRule::Check(ChangeSequence sequence, BootTime now) const {
  const auto age = ConfirmationAge(sequence, now);
  if (age && *age <= window_)
    return Freshness::kConfirmed;
  if (store_unavailable_ && HasMajority(sequence, now))
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
  highest_known_sequence_ =
      std::max(highest_known_sequence_, confirmation.sequence);
  auto next = confirmations_.upper_bound(confirmation.sequence);
  if (next != confirmations_.begin() &&
      std::prev(next)->second >= confirmation.time)
    return;
  confirmations_[confirmation.sequence] = confirmation.time;
  while (next != confirmations_.end() && next->second <= confirmation.time)
    next = confirmations_.erase(next);
  // Entries out of the window give no freshness; only the newest is of use.
  while (confirmations_.size() > 1 && confirmations_.begin()->second + window_ <
                                          confirmations_.rbegin()->second)
    confirmations_.erase(confirmations_.begin());
}

// A state that is known to be behind does not count as fresh through a
// majority: the change that it lacks may be a withdrawal.
bool FreshnessRule::HasMajority(ChangeSequence sequence, BootTime now) const {
  if (sequence < highest_known_sequence_)
    return false;
  std::size_t count = instances_.contains(self_) ? 1 : 0;
  for (const auto& [peer, contact] : last_contacts_) {
    if (peer == self_ || now - contact.time > window_)
      continue;
    ++count;
  }
  return count * 2 > instances_.size();
}

}  // namespace bamboomount
