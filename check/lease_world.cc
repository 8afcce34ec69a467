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

LeaseWorld::LeaseWorld(Options options) : options_(options) {
  for (std::size_t i = 0; i < kInstances; ++i)
    instances_.emplace_back(
        DutyLease(InstanceId(Name(i)), Incarnation(Name(i) + "-1"), kDuration));
  // Both have seen that there is no holder yet.
  for (std::size_t i = 0; i < kInstances; ++i)
    ReadAtOnce(i);
}

std::vector<LeaseWorld::Step> LeaseWorld::PossibleSteps() const {
  std::vector<Step> steps{
      {"time passes", &LeaseWorld::PassTime, 1},
      {"a takeover's time passes", &LeaseWorld::PassTime, kLongWait}};
  for (std::size_t i = 0; i < kInstances; ++i)
    AddStepsOf(i, steps);
  AddStepsOfStore(steps);
  return steps;
}

void LeaseWorld::AddStepsOf(std::size_t i, std::vector<Step>& steps) const {
  const Instance& instance = instances_[i];
  const std::string name = Name(i);
  switch (instance.call) {
    case Call::kNone: {
      DutyLease lease = instance.lease;
      const bool has_claim = lease.NextClaim(now_).has_value();
      steps.push_back({name + " reads the row", &LeaseWorld::Read, i});
      if (has_claim)
        steps.push_back({name + " sends a claim", &LeaseWorld::SendClaim, i});
      if (!options_.has_whole_calls)
        break;
      steps.push_back(
          {name + " reads and gets the row", &LeaseWorld::ReadAtOnce, i});
      if (has_claim)
        steps.push_back({name + " sends a claim and gets the outcome",
                         &LeaseWorld::ClaimAtOnce, i});
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

void LeaseWorld::AddStepsOfStore(std::vector<Step>& steps) const {
  for (std::size_t i = 0; i < late_claims_.size(); ++i)
    steps.push_back(
        {"the store performs a late claim of " + Name(late_claims_[i].instance),
         &LeaseWorld::PerformLate, i});
  if (restores_ == options_.restores)
    return;
  if (copies_ < options_.copies)
    steps.push_back({"the store takes a copy", &LeaseWorld::TakeCopy});
  steps.push_back(
      {"the store comes back from the copy", &LeaseWorld::RestoreCopy});
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
  instances_[instance].read = store_;
}

void LeaseWorld::ReceiveRow(std::size_t instance) {
  Instance& reader = instances_[instance];
  reader.call = Call::kNone;
  reader.lease.ObserveRow(reader.read, now_);
}

void LeaseWorld::ReadAtOnce(std::size_t instance) {
  Read(instance);
  ReceiveRow(instance);
}

void LeaseWorld::SendClaim(std::size_t instance) {
  Instance& sender = instances_[instance];
  sender.call = Call::kClaim;
  sender.claim = sender.lease.NextClaim(now_);
  sender.sent = now_;
  sender.performed = false;
  sender.committed = false;
}

// Whether the condition of the claim holds.
bool LeaseWorld::Write(const DutyLease::Claim& claim) {
  if (claim.expected != store_.version)
    return false;
  store_.version += RowVersion(1);
  store_.position = store_.version;
  store_.row = claim.row;
  return true;
}

void LeaseWorld::PerformClaim(std::size_t instance) {
  Instance& sender = instances_[instance];
  sender.performed = true;
  sender.committed = Write(*sender.claim);
  sender.version = store_.version;
  sender.era = store_.era;
}

void LeaseWorld::ReceiveOutcome(std::size_t instance) {
  Instance& sender = instances_[instance];
  sender.call = Call::kNone;
  if (sender.committed)
    sender.lease.OnCommitted(*sender.claim, sender.version, sender.era,
                             sender.sent);
  else
    sender.lease.OnConflict(*sender.claim, sender.era);
}

void LeaseWorld::ClaimAtOnce(std::size_t instance) {
  SendClaim(instance);
  PerformClaim(instance);
  ReceiveOutcome(instance);
}

void LeaseWorld::TakeCopy(std::size_t) {
  copy_ = store_;
  ++copies_;
}

void LeaseWorld::RestoreCopy(std::size_t) {
  const StoreEra era = store_.era + StoreEra(1);
  store_ = copy_;
  store_.era = era;
  ++restores_;
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

// Writes a situation so that equal ones are equal: versions and eras count from
// those of the store, tokens are ranks. Tokens are only compared with each
// other and with those of later claims, which follow the position of a read.
class LeaseWorld::StateText {
 public:
  explicit StateText(const LeaseWorld& world) : world_(world) { FindTokens(); }

  std::string Text() {
    Add(world_.store_);
    if (MayBeRestored()) {
      text_ << "c" << world_.copies_ << "r" << world_.restores_;
      Add(world_.copy_);
    }
    text_ << Rank(world_.newest_token_) << Name(world_.last_holder_) << "|";
    for (const Instance& instance : world_.instances_)
      Add(instance);
    for (const LateClaim& late : world_.late_claims_)
      Add(late.claim);
    return text_.str();
  }

 private:
  void FindTokens() {
    FindTokensOf(world_.store_);
    if (MayBeRestored())
      FindTokensOf(world_.copy_);
    tokens_.push_back(world_.newest_token_);
    for (const Instance& instance : world_.instances_) {
      if (instance.call == Call::kRead)
        FindTokensOf(instance.read);
      if (instance.call == Call::kClaim)
        tokens_.push_back(instance.claim->row.token);
      for (const auto& claim : ClaimsOf(instance.lease)) {
        if (claim)
          tokens_.push_back(claim->row.token);
      }
    }
    for (const LateClaim& late : world_.late_claims_)
      tokens_.push_back(late.claim.row.token);
    std::sort(tokens_.begin(), tokens_.end());
    tokens_.erase(std::unique(tokens_.begin(), tokens_.end()), tokens_.end());
  }

  bool MayBeRestored() const {
    return world_.restores_ < world_.options_.restores;
  }

  // The token in the row and the one of a takeover after this read.
  void FindTokensOf(const LeaseSnapshot& snapshot) {
    tokens_.push_back(TakeoverToken(snapshot));
    if (snapshot.row)
      tokens_.push_back(snapshot.row->token);
  }

  static FencingToken TakeoverToken(const LeaseSnapshot& snapshot) {
    DutyLease reader(InstanceId("r"), Incarnation("r-1"), kDuration);
    reader.ObserveRow(snapshot, Instant());
    const auto claim = reader.NextClaim(Instant() + kTick * kLongWait);
    return claim ? claim->row.token : FencingToken();
  }

  // The claims of the lease after each tick up to a takeover.
  std::vector<std::optional<DutyLease::Claim>> ClaimsOf(
      const DutyLease& lease) const {
    std::vector<std::optional<DutyLease::Claim>> claims;
    for (std::size_t tick = 0; tick <= kLongWait; ++tick) {
      DutyLease copy = lease;
      claims.push_back(copy.NextClaim(world_.now_ + kTick * tick));
    }
    return claims;
  }

  std::size_t Rank(FencingToken token) const {
    const auto place = std::lower_bound(tokens_.begin(), tokens_.end(), token);
    return static_cast<std::size_t>(place - tokens_.begin());
  }

  void Add(RowVersion version) {
    text_ << "v"
          << static_cast<std::int64_t>(
                 (world_.store_.version - version).value());
  }

  void Add(StoreEra era) { text_ << "e" << (world_.store_.era - era).value(); }

  void Add(const DutyLeaseRow& row) {
    text_ << row.holder.value() << Rank(row.token) << "." << row.claim;
    Add(row.era);
  }

  void Add(const LeaseSnapshot& snapshot) {
    if (snapshot.row)
      Add(*snapshot.row);
    Add(snapshot.version);
    Add(snapshot.era);
    text_ << "t" << Rank(TakeoverToken(snapshot)) << " ";
  }

  void Add(const DutyLease::Claim& claim) {
    Add(claim.row);
    Add(claim.expected);
    text_ << " ";
  }

  // What the lease answers now and later decides how it goes on.
  void Add(const DutyLease& lease) {
    const auto claims = ClaimsOf(lease);
    for (std::size_t tick = 0; tick <= kLongWait; ++tick) {
      text_ << lease.HoldsFor(Millis(0), world_.now_ + kTick * tick);
      if (claims[tick])
        Add(*claims[tick]);
      text_ << ";";
    }
    Add(lease.era());
  }

  void Add(const Instance& instance) {
    Add(instance.lease);
    if (instance.claim)
      text_ << "n" << instance.claim->row.claim;
    text_ << "/" << static_cast<int>(instance.call);
    if (instance.call == Call::kRead)
      Add(instance.read);
    if (instance.call == Call::kClaim) {
      Add(*instance.claim);
      text_ << instance.performed << instance.committed;
      if (instance.performed)
        Add(instance.era);
      if (instance.performed && instance.committed)
        Add(instance.version);
      text_ << "@" << ToMillis(world_.now_ - instance.sent).count();
    }
    for (const auto& [claim, sent] : instance.given_up)
      text_ << "u" << claim << "@"
            << std::min(world_.now_ - sent, kForgotten).count();
    text_ << "|";
  }

  const LeaseWorld& world_;
  std::vector<FencingToken> tokens_;
  std::ostringstream text_;
};

std::string LeaseWorld::State() const {
  return StateText(*this).Text();
}

std::string LeaseWorld::Violation() const {
  return violation_;
}

}  // namespace bamboomount::check
