#include "gateway/relay/reachability_evidence.h"

#include <algorithm>

namespace bamboomount {

void ReachabilityEvidence::RecordSent(Instant now) {
  if (!waiting_since_)
    waiting_since_ = now;
}

void ReachabilityEvidence::RecordFailedConnect(const BackendId& server,
                                               Instant now) {
  std::erase_if(failed_connects_, [now](const auto& item) {
    return now - item.second > kFailurePeriod;
  });
  failed_connects_.insert_or_assign(server, now);
}

bool ReachabilityEvidence::ConnectsFail(Instant now) const {
  const auto failures = std::count_if(
      failed_connects_.begin(), failed_connects_.end(),
      [now](const auto& item) { return now - item.second <= kFailurePeriod; });
  return static_cast<std::size_t>(failures) >= kSuspiciousFailures;
}

bool ReachabilityEvidence::IsSilent(Instant now) const {
  return waiting_since_ && now - *waiting_since_ > kSuspiciousSilence;
}

bool ReachabilityEvidence::RecordProbes(const std::set<BackendId>& probed,
                                        const std::set<BackendId>& answered,
                                        Instant now) {
  const bool before = cut_off_;
  if (!cut_off_) {
    // One server that does not answer may have failed.
    cut_off_ = answered.empty() && probed.size() >= kSuspiciousFailures;
    if (!answered.empty())
      trusted_until_ = now + kTrustPeriod;
    answered_.clear();
  } else if (answered.empty()) {
    answered_.clear();
  } else {
    answered_.insert(answered.begin(), answered.end());
    cut_off_ = answered_.size() < std::min(kAnswersToRecover, probed.size());
  }
  if (before && !cut_off_) {
    failed_connects_.clear();
    waiting_since_.reset();
  }
  return before != cut_off_;
}

}  // namespace bamboomount
