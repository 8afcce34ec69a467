#include "gateway/placement/brittle_servers.h"

#include <algorithm>

namespace bamboomount {
namespace {

// The instances claim this fraction of the free slots that they know of,
// because chance may let more of them claim one than there are slots.
constexpr double kClaimFraction = 0.4;
// Instances that one round of gossip reaches.
constexpr double kGossipReach = 10;
// An instance takes this fraction of its share of the rejections before it
// pauses, because instances may disagree on their number.
constexpr double kShareFraction = 0.5;
// The first pause after a rejection lasts at most this many windows.
constexpr double kMaxFirstPauseWindows = 4;
constexpr int kMaxPauseDoublings = 2;

void DropUntil(std::deque<Instant>& times, Instant limit) {
  while (!times.empty() && times.front() <= limit)
    times.pop_front();
}

Millis Scale(Millis time, double factor) {
  return std::chrono::duration_cast<Millis>(time * factor);
}

}  // namespace

bool BrittleServers::RecordStatement(const PoolId& pool,
                                     int max_rejections,
                                     Instant now) {
  const bool is_new = !IsBrittle(pool, now);
  statements_[pool] = {max_rejections, now + kStatementLifetime};
  return is_new;
}

bool BrittleServers::IsBrittle(const PoolId& pool, Instant now) const {
  const auto statement = statements_.find(pool);
  return statement != statements_.end() && now < statement->second.expires_at;
}

bool BrittleServers::MaySend(const BackendServer& server, Instant now) {
  if (!IsBrittle(server.pool, now))
    return true;
  Record& record = records_[server.id];
  const int free_slots = server.slots - loads_.Total(server.id).requests;
  Refresh(record, free_slots, now);
  if (free_slots <= 0 || now < record.paused_until)
    return false;
  const double limit = std::max(1.0, RejectionShare(server.pool));
  if (static_cast<double>(record.unanswered.size()) + 1 > limit)
    return false;
  return !record.freed.empty() || record.credit >= 1;
}

void BrittleServers::Refresh(Record& record, int free_slots, Instant now) {
  DropUntil(record.unanswered, now - kRejectionTime);
  DropUntil(record.freed, now - ReportAge());
  UpdateCredit(record, free_slots, now);
}

void BrittleServers::UpdateCredit(Record& record, int free_slots, Instant now) {
  // An instance that is alone knows the load exactly.
  const double fraction = members_.Count() > 1 ? kClaimFraction : 1;
  const double share = fraction * std::max(0, free_slots) / members_.Count();
  const Millis report_age = ReportAge();
  const Millis elapsed = ToMillis(now - record.credit_updated_at);
  // Nothing was to be sent for a while, so the present loads are a new chance.
  if (elapsed >= report_age)
    record.credit =
        share + std::uniform_real_distribution<double>(0, 1)(random_);
  else
    record.credit +=
        share *
        (elapsed / std::chrono::duration<double, std::milli>(report_age));
  record.credit = std::min(record.credit, std::max(1.0, share));
  record.credit_updated_at = now;
}

void BrittleServers::RecordSent(const BackendServer& server, Instant now) {
  if (!IsBrittle(server.pool, now))
    return;
  Record& record = records_[server.id];
  record.unanswered.push_back(now);
  if (!record.freed.empty())
    record.freed.pop_front();
  else
    record.credit = std::max(0.0, record.credit - 1);
}

void BrittleServers::RecordRejected(const BackendId& server,
                                    const PoolId& pool,
                                    Instant sent_at,
                                    Instant now) {
  if (!IsBrittle(pool, now))
    return;
  Record& record = records_[server];
  RemoveUnanswered(record, sent_at);
  record.freed.clear();
  record.credit = 0;
  DropUntil(record.rejected, now - kWindow);
  record.rejected.push_back(now);
  // A request that was sent before the pause says nothing new.
  if (sent_at > record.paused_at)
    Pause(record, RejectionShare(pool), now);
}

void BrittleServers::Pause(Record& record, double share, Instant now) {
  record.paused_at = now;
  const double allowed = std::max(1.0, share * kShareFraction);
  if (static_cast<double>(record.rejected.size()) < allowed) {
    record.paused_until = now + ReportAge();
    return;
  }
  // The jitter keeps the instances from returning at the same time.
  const double windows =
      std::clamp(1 / std::max(share, 0.01), 1.0, kMaxFirstPauseWindows);
  const int doublings = std::min(record.pauses_in_row, kMaxPauseDoublings);
  const double jitter = std::uniform_real_distribution<double>(1, 2)(random_);
  record.paused_until =
      now + Scale(kWindow, windows * (1 << doublings) * jitter);
  ++record.pauses_in_row;
}

void BrittleServers::RecordAccepted(const BackendId& server, Instant sent_at) {
  const auto found = records_.find(server);
  if (found == records_.end())
    return;
  RemoveUnanswered(found->second, sent_at);
  if (sent_at > found->second.paused_at)
    found->second.pauses_in_row = 0;
}

void BrittleServers::RecordEnded(const BackendId& server,
                                 const PoolId& pool,
                                 bool accepted,
                                 Instant sent_at,
                                 Instant now) {
  if (!IsBrittle(pool, now))
    return;
  Record& record = records_[server];
  RemoveUnanswered(record, sent_at);
  if (accepted)
    record.freed.push_back(now);
}

void BrittleServers::RemoveUnanswered(Record& record, Instant sent_at) {
  const auto found =
      std::find(record.unanswered.begin(), record.unanswered.end(), sent_at);
  if (found != record.unanswered.end())
    record.unanswered.erase(found);
}

Millis BrittleServers::ReportAge() const {
  return Scale(kReportAge, std::max(1.0, members_.Count() / kGossipReach));
}

double BrittleServers::RejectionShare(const PoolId& pool) const {
  return statements_.at(pool).max_rejections /
         static_cast<double>(members_.Count());
}

void BrittleServers::Expire(Instant now) {
  std::erase_if(statements_, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
  if (statements_.empty())
    records_.clear();
}

}  // namespace bamboomount
