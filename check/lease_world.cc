#include "check/lease_world.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace bamboomount::check {
namespace {

constexpr Millis kDuration{1000};
constexpr Millis kTick{500};
// A takeover needs four ticks.
constexpr std::size_t kLongWait = 4;
constexpr std::size_t kMaxLateClaims = 2;
// A claim that was sent longer ago can't make its sender a holder.
constexpr std::chrono::nanoseconds kForgotten = kDuration + kTick;

std::string Name(std::size_t instance) {
  return instance == 0 ? "a" : "b";
}

}  // namespace

LeaseWorld::LeaseWorld() {
  for (std::size_t i = 0; i < kInstances; ++i)
    instances_.push_back(
        {DutyLease(InstanceId(Name(i)), Incarnation(Name(i) + "-1"), kDuration),
         Call::kNone,
         std::nullopt,
         RowVersion(),
         std::nullopt,
         Instant(),
         false,
         false,
         {}});
  // Both have seen that there is no holder yet.
  for (std::size_t i = 0; i < kInstances; ++i) {
    Read(i);
    ReceiveRow(i);
  }
}

std::vector<LeaseWorld::Step> LeaseWorld::PossibleSteps() const {
  std::vector<Step> steps{
      {"time passes", &LeaseWorld::PassTime, 1},
      {"a takeover's time passes", &LeaseWorld::PassTime, kLongWait}};
  for (std::size_t i = 0; i < kInstances; ++i) {
    const Instance& instance = instances_[i];
    const std::string name = Name(i);
    switch (instance.call) {
      case Call::kNone: {
        steps.push_back({name + " reads the row", &LeaseWorld::Read, i});
        DutyLease lease = instance.lease;
        if (lease.NextClaim(now_))
          steps.push_back({name + " sends a claim", &LeaseWorld::SendClaim, i});
        break;
      }
      case Call::kRead:
        steps.push_back({name + " gets the row", &LeaseWorld::ReceiveRow, i});
        break;
      case Call::kClaim:
        if (!instance.performed)
          steps.push_back({"the store performs the claim of " + name,
                           &LeaseWorld::PerformClaim, i});
        else
          steps.push_back(
              {name + " gets the outcome", &LeaseWorld::ReceiveOutcome, i});
        if (instance.performed || late_claims_.size() < kMaxLateClaims)
          steps.push_back(
              {name + " gives up its claim", &LeaseWorld::GiveUpClaim, i});
        break;
    }
  }
  for (std::size_t i = 0; i < late_claims_.size(); ++i)
    steps.push_back(
        {"the store performs a late claim of " + Name(late_claims_[i].instance),
         &LeaseWorld::PerformLate, i});
  return steps;
}

std::vector<std::string> LeaseWorld::Steps() const {
  std::vector<std::string> names;
  for (const Step& step : PossibleSteps())
    names.push_back(step.name);
  return names;
}

void LeaseWorld::Take(std::size_t step) {
  const Step taken = PossibleSteps().at(step);
  (this->*taken.take)(taken.argument);
  Check();
}

void LeaseWorld::PassTime(std::size_t ticks) {
  // Step by step, since the properties hold at any time.
  for (std::size_t i = 0; i < ticks; ++i) {
    now_ += kTick;
    Check();
  }
}

void LeaseWorld::Read(std::size_t instance) {
  instances_[instance].call = Call::kRead;
  instances_[instance].row = row_;
  instances_[instance].version = version_;
}

void LeaseWorld::ReceiveRow(std::size_t instance) {
  Instance& reader = instances_[instance];
  reader.call = Call::kNone;
  reader.lease.ObserveRow(reader.row, reader.version, now_);
}

void LeaseWorld::SendClaim(std::size_t instance) {
  Instance& sender = instances_[instance];
  sender.call = Call::kClaim;
  sender.claim = sender.lease.NextClaim(now_);
  sender.sent = now_;
  sender.performed = false;
}

std::optional<RowVersion> LeaseWorld::Write(const DutyLease::Claim& claim) {
  if (claim.expected != version_)
    return std::nullopt;
  version_ += RowVersion(1);
  row_ = claim.row;
  return version_;
}

void LeaseWorld::PerformClaim(std::size_t instance) {
  Instance& sender = instances_[instance];
  const auto version = Write(*sender.claim);
  sender.performed = true;
  sender.committed = version.has_value();
  sender.version = version.value_or(RowVersion());
}

void LeaseWorld::ReceiveOutcome(std::size_t instance) {
  Instance& sender = instances_[instance];
  sender.call = Call::kNone;
  if (sender.committed)
    sender.lease.OnCommitted(*sender.claim, sender.version, sender.sent);
  else
    sender.lease.OnConflict(*sender.claim);
}

void LeaseWorld::GiveUpClaim(std::size_t instance) {
  Instance& sender = instances_[instance];
  sender.call = Call::kNone;
  sender.lease.OnOutcomeUnknown(*sender.claim, sender.sent);
  sender.given_up.emplace_back(sender.claim->row.claim, sender.sent);
  if (!sender.performed)
    late_claims_.push_back({*sender.claim, instance});
}

void LeaseWorld::PerformLate(std::size_t index) {
  const LateClaim late = late_claims_[index];
  late_claims_.erase(late_claims_.begin() + static_cast<std::ptrdiff_t>(index));
  Write(late.claim);
}

void LeaseWorld::Check() {
  std::size_t holders = 0;
  for (std::size_t i = 0; i < kInstances; ++i) {
    const DutyLease& lease = instances_[i].lease;
    if (!lease.HoldsFor(Millis(0), now_))
      continue;
    ++holders;
    if (lease.token() < newest_token_ ||
        (lease.token() == newest_token_ && i != last_holder_))
      violation_ = "a holder has no newer token than another one before it";
    newest_token_ = std::max(newest_token_, lease.token());
    last_holder_ = i;
  }
  if (holders > 1)
    violation_ = "two instances hold the lease";
}

// What the lease answers now and later decides how it goes on. Versions and
// tokens count from the newest ones, so that equal situations are equal.
std::string LeaseWorld::Describe(const DutyLease& lease) const {
  std::ostringstream text;
  for (std::size_t tick = 0; tick <= kLongWait; ++tick) {
    const Instant then = now_ + kTick * tick;
    DutyLease copy = lease;
    const auto claim = copy.NextClaim(then);
    text << lease.HoldsFor(Millis(0), then);
    if (claim)
      text << "/" << (version_ - claim->expected).value() << "/"
           << claim->row.token.value() << "/" << claim->row.claim;
    text << ";";
  }
  return text.str();
}

std::string LeaseWorld::State() const {
  std::ostringstream text;
  const auto add_row = [&](const std::optional<DutyLeaseRow>& row,
                           RowVersion version) {
    if (row)
      text << row->holder.value() << row->token.value() << "." << row->claim;
    text << "v" << (version_ - version).value() << " ";
  };
  add_row(row_, version_);
  text << newest_token_.value() << Name(last_holder_) << "|";
  for (const Instance& instance : instances_) {
    text << Describe(instance.lease) << static_cast<int>(instance.call);
    if (instance.call == Call::kRead)
      add_row(instance.row, instance.version);
    if (instance.call == Call::kClaim) {
      add_row(instance.claim->row, instance.claim->expected);
      text << instance.performed << instance.committed
           << (instance.committed ? (version_ - instance.version).value() : 0)
           << "@" << ToMillis(now_ - instance.sent).count();
    }
    for (const auto& [claim, sent] : instance.given_up)
      text << "u" << claim << "@" << std::min(now_ - sent, kForgotten).count();
    text << "|";
  }
  for (const LateClaim& late : late_claims_)
    add_row(late.claim.row, late.claim.expected);
  return text.str();
}

std::string LeaseWorld::Violation() const {
  return violation_;
}

}  // namespace bamboomount::check
