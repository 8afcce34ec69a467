#include "gateway/control/lease_keeper.h"

#include <utility>

#include "gateway/control/table_names.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr Millis kStepInterval{200};

}  // namespace

LeaseKeeper::LeaseKeeper(asio::io_context& context,
                         AsyncTableStore& store,
                         GatewayState& state,
                         const Incarnation& incarnation,
                         Callbacks callbacks)
    : store_(store),
      state_(state),
      callbacks_(std::move(callbacks)),
      lease_(state.settings().instance,
             incarnation,
             state.settings().lease_duration),
      timer_(context) {}

void LeaseKeeper::Start() {
  Step();
  timer_.expires_after(kStepInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void LeaseKeeper::Step() {
  const Instant now = BootClock::now();
  if (call_open_ || leaving_ || now < next_call_ || !state_.IsReady())
    return;
  if (lease_.HoldsFor(Millis(0), now)) {
    if (const auto renewal = lease_.NextClaim(now))
      Claim(*renewal);
    return;
  }
  if (MayTakeOver(now))
    ReadRow();
}

bool LeaseKeeper::MayTakeOver(Instant now) const {
  const InstanceSettings& settings = state_.settings();
  if (!settings.reports_usage && !settings.orders_backends)
    return false;
  return !HolderIsHeard(now) &&
         state_.members().RankOf(settings.instance, now) < kCandidates;
}

bool LeaseKeeper::HolderIsHeard(Instant now) const {
  return heard_ && now - heard_->said < kHolderSilence;
}

void LeaseKeeper::ReadRow() {
  call_open_ = true;
  next_call_ = BootClock::now() + kWatchInterval;
  store_.ReadTable(tables::kLease, [this](Result<RowsAnswer> answer) {
    call_open_ = false;
    if (!answer)
      return;
    const Instant now = BootClock::now();
    std::optional<DutyLeaseRow> row;
    RowVersion version;
    for (const TableRow& listed : answer.value().rows) {
      auto decoded = DecodeLeaseRow(listed.value);
      if (!decoded) {
        Log(gateway_events::kMemberUnreadable,
            {{"row", listed.key}, {"cause", decoded.error().message}});
        return;
      }
      row = std::move(decoded.value());
      version = listed.version;
    }
    lease_.Observe(row, version, now);
    // The holder may have been heard meanwhile.
    if (leaving_ || !MayTakeOver(now))
      return;
    if (const auto claim = lease_.NextClaim(now))
      Claim(*claim);
  });
}

void LeaseKeeper::Claim(const DutyLease::Claim& claim) {
  const Instant now = BootClock::now();
  StoreChange change;
  change.Expect(tables::kLease, tables::kLeaseKey, claim.expected)
      .Put(tables::kLease, tables::kLeaseKey, EncodeLeaseRow(claim.row));
  call_open_ = true;
  next_call_ = now + kRenewInterval;
  store_.Commit(change, [this, claim, now](const Result<CommitAnswer>& answer) {
    call_open_ = false;
    OnCommitted(claim, now, answer);
  });
}

void LeaseKeeper::OnCommitted(const DutyLease::Claim& claim,
                              Instant sent,
                              const Result<CommitAnswer>& answer) {
  const Instant now = BootClock::now();
  state_.RecordCommitResult(answer);
  if (answer && answer.value().committed)
    lease_.OnCommitted(claim, answer.value().moment.position, sent);
  else if (answer)
    lease_.OnConflict(claim);
  else if (answer.error().verdict == RunVerdict::kMayHaveRun)
    lease_.OnUnknown(claim, sent);
  const bool holds = lease_.HoldsFor(Millis(0), now);
  if (holds != held_) {
    held_ = holds;
    Log(holds ? gateway_events::kLeaseTaken : gateway_events::kLeaseLost,
        {{"token", std::to_string(claim.row.token.value())}});
    if (holds)
      callbacks_.on_taken();
  }
  if (holds)
    callbacks_.on_held(lease_, now);
}

std::optional<HolderStatement> LeaseKeeper::Statement(Instant now) const {
  if (lease_.HoldsFor(Millis(0), now) && !leaving_)
    return HolderStatement{state_.settings().instance, lease_.token(),
                           Millis(0)};
  if (!heard_)
    return std::nullopt;
  HolderStatement statement = heard_->statement;
  statement.age = ToMillis(now - heard_->said);
  return statement;
}

void LeaseKeeper::OnStatement(const HolderStatement& statement, Instant now) {
  // Others pass on what this instance said itself.
  if (statement.holder == state_.settings().instance)
    return;
  const Instant said = now - statement.age;
  const bool newer =
      !heard_ || statement.token > heard_->statement.token ||
      (statement.token == heard_->statement.token && said > heard_->said);
  if (newer)
    heard_ = Heard{statement, said};
}

}  // namespace bamboomount
