#include "gateway/control/duty_lease_manager.h"

#include <utility>

#include "gateway/control/table_names.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr Millis kStepInterval{200};

}  // namespace

DutyLeaseManager::DutyLeaseManager(asio::io_context& context,
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

void DutyLeaseManager::Start() {
  Step();
  timer_.expires_after(kStepInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void DutyLeaseManager::Step() {
  const Instant now = BootClock::now();
  if (call_in_flight_ || leaving_ || now < next_call_at_ || !state_.IsReady())
    return;
  if (lease_.HoldsFor(Millis(0), now)) {
    if (const auto renewal = lease_.NextClaim(now))
      CommitClaim(*renewal);
    return;
  }
  if (MayTakeOver(now))
    ReadRow();
}

bool DutyLeaseManager::MayTakeOver(Instant now) const {
  const InstanceSettings& settings = state_.settings();
  if (!settings.reports_usage && !settings.orders_backends)
    return false;
  return !IsHolderAlive(now) && state_.members().CandidateRank(
                                    settings.instance, now) < kMaxCandidates;
}

bool DutyLeaseManager::IsHolderAlive(Instant now) const {
  return last_received_ && now - last_received_->stated_at < kHolderTimeout;
}

void DutyLeaseManager::ReadRow() {
  call_in_flight_ = true;
  next_call_at_ = BootClock::now() + kWatchInterval;
  store_.ReadTable(tables::kLease, [this](Result<RowsResponse> response) {
    call_in_flight_ = false;
    if (!response)
      return;
    const Instant now = BootClock::now();
    const StoreResponseInfo& info = response.value().info;
    LeaseSnapshot snapshot{std::nullopt, RowVersion(), info.position, info.era};
    for (const TableRow& listed : response.value().rows) {
      auto decoded = DecodeLeaseRow(listed.value);
      if (!decoded) {
        Log(gateway_events::kMemberUnreadable,
            {{"row", listed.key}, {"cause", decoded.error().message}});
        return;
      }
      snapshot.row = std::move(decoded.value());
      snapshot.version = listed.version;
    }
    LogIfRestored(info);
    lease_.ObserveRow(snapshot, now);
    // A statement of the holder may have arrived during the read.
    if (leaving_ || !MayTakeOver(now))
      return;
    if (auto claim = lease_.NextClaim(now)) {
      if (claim->history_lost)
        claim->row.sealed_through = state_.LastEndedWindow(now);
      CommitClaim(*claim);
    }
  });
}

void DutyLeaseManager::LogIfRestored(const StoreResponseInfo& info) {
  if (lease_.era() != StoreEra() && info.era > lease_.era())
    Log(gateway_events::kStoreRestored,
        {{"era", std::to_string(info.era.value())},
         {"era_before", std::to_string(lease_.era().value())},
         {"version", std::to_string(info.position.value())},
         {"version_before", std::to_string(newest_version_.value())}});
  newest_version_ = info.position;
}

void DutyLeaseManager::CommitClaim(const DutyLease::Claim& claim) {
  const Instant now = BootClock::now();
  StoreTransaction transaction;
  transaction.Expect(tables::kLease, tables::kLeaseKey, claim.expected)
      .Put(tables::kLease, tables::kLeaseKey, EncodeLeaseRow(claim.row));
  call_in_flight_ = true;
  next_call_at_ = now + kRenewInterval;
  store_.Commit(transaction,
                [this, claim, now](const Result<CommitResponse>& response) {
                  call_in_flight_ = false;
                  OnCommitted(claim, now, response);
                });
}

void DutyLeaseManager::OnCommitted(const DutyLease::Claim& claim,
                                   Instant sent,
                                   const Result<CommitResponse>& response) {
  const Instant now = BootClock::now();
  state_.RecordCommitResult(response);
  if (response)
    LogIfRestored(response.value().info);
  if (response && response.value().committed)
    lease_.OnCommitted(claim, response.value().info.position,
                       response.value().info.era, sent);
  else if (response)
    lease_.OnConflict(claim, response.value().info.era);
  else if (response.error().verdict == RunVerdict::kMayHaveRun)
    lease_.OnOutcomeUnknown(claim, sent);
  const bool holds = lease_.HoldsFor(Millis(0), now);
  RecordTenure(holds ? lease_.token() : FencingToken(), claim);
  if (holds)
    callbacks_.on_held(lease_, now);
}

void DutyLeaseManager::RecordTenure(FencingToken token,
                                    const DutyLease::Claim& claim) {
  if (token == tenure_)
    return;
  const FencingToken last = std::exchange(tenure_, token);
  if (last != FencingToken())
    Log(gateway_events::kLeaseLost,
        {{"token", std::to_string(last.value())},
         {"claim", std::to_string(claim.row.claim)},
         {"era", std::to_string(lease_.era().value())}});
  if (token == FencingToken())
    return;
  Log(gateway_events::kLeaseTaken,
      {{"token", std::to_string(token.value())},
       {"claim", std::to_string(claim.row.claim)},
       {"row_before", std::to_string(claim.expected.value())},
       {"era", std::to_string(lease_.era().value())},
       {"history_lost", claim.history_lost ? "yes" : "no"}});
  callbacks_.on_taken();
}

std::optional<HolderStatement> DutyLeaseManager::LatestHolderStatement(
    Instant now) const {
  const FencingToken held = HeldToken(now);
  if (held != FencingToken())
    return HolderStatement{state_.settings().instance, held, Millis(0)};
  if (!last_received_)
    return std::nullopt;
  HolderStatement statement = last_received_->statement;
  statement.age = ToMillis(now - last_received_->stated_at);
  return statement;
}

FencingToken DutyLeaseManager::HeldToken(Instant now) const {
  const bool holds = lease_.HoldsFor(Millis(0), now) && !leaving_;
  return holds ? lease_.token() : FencingToken();
}

void DutyLeaseManager::OnHolderStatement(const HolderStatement& statement,
                                         Instant now) {
  // Other instances relay this instance's own statements back to it.
  if (statement.holder == state_.settings().instance)
    return;
  lease_.ObserveToken(statement.token);
  const Instant stated_at = now - statement.age;
  const bool newer = !last_received_ ||
                     statement.token > last_received_->statement.token ||
                     (statement.token == last_received_->statement.token &&
                      stated_at > last_received_->stated_at);
  if (newer)
    last_received_ = ReceivedStatement{statement, stated_at};
}

}  // namespace bamboomount
