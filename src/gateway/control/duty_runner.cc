#include "gateway/control/duty_runner.h"

#include <utility>

#include "gateway/control/table_names.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

// Figures are waited for at least so long, since instances that could not write
// them in an outage of the store do so within this time of its return.
constexpr Millis kShortestWait{1500};
// Windows for which parts of ended processes are kept.
constexpr WindowNumber kKeptParts(4);
// Rows that one transaction drops at most.
constexpr std::size_t kMaxRemoved = 50;

std::string_view Describe(DutyOutcome outcome) {
  switch (outcome) {
    case DutyOutcome::kAccepted:
      return "accepted";
    case DutyOutcome::kUnavailable:
      return "none to be had";
    case DutyOutcome::kFailed:
      return "failed";
  }
  return "failed";
}

void LogOrder(const BackendOrder& order, DutyOutcome outcome) {
  Log(outcome == DutyOutcome::kAccepted ? gateway_events::kBackendsOrdered
                                        : gateway_events::kOrderFailed,
      {{"pool", order.pool.value()},
       {"zone", order.zone.value()},
       {"count", std::to_string(order.count)},
       {"reclaimable", order.reclaimable ? "yes" : "no"},
       {"outcome", std::string(Describe(outcome))}});
}

}  // namespace

DutyRunner::DutyRunner(AsyncTableStore& store,
                       DutyClient& client,
                       GatewayState& state)
    : store_(store),
      client_(client),
      state_(state),
      schedule_(state.settings().usage_window) {}

void DutyRunner::Begin() {
  loaded_ = false;
  orders_.clear();
  planner_.Reset();
}

void DutyRunner::Step(const DutyLease& lease, Instant now) {
  lease_ = &lease;
  if (!lease.HoldsFor(kCallTime, now))
    return;
  if (state_.settings().orders_backends && !order_open_) {
    if (orders_.empty())
      PlanOrders(now);
    SendOrders();
  }
  if (state_.settings().reports_usage && !busy_)
    AdvanceUsage();
}

void DutyRunner::AdvanceUsage() {
  const Instant now = BootClock::now();
  if (!lease_->HoldsFor(kCallTime, now))
    return;
  if (!loaded_)
    LoadSeals();
  else if (schedule_.NextToReport())
    ReportNext();
  else
    SealNext(now);
}

void DutyRunner::LoadSeals() {
  busy_ = true;
  store_.ReadTable(tables::kUsage, [this](Result<RowsAnswer> answer) {
    busy_ = false;
    if (!answer)
      return;
    std::vector<UsageSeal> seals;
    for (const TableRow& row : answer.value().rows) {
      const auto seal = DecodeSeal(row.value);
      if (seal)
        seals.push_back(seal.value());
      else
        Log(gateway_events::kMemberUnreadable,
            {{"row", row.key}, {"cause", seal.error().message}});
    }
    schedule_.Load(seals);
    loaded_ = true;
    AdvanceUsage();
  });
}

void DutyRunner::SealNext(Instant now) {
  const auto window = schedule_.NextToSeal(state_.WallTime(now));
  if (!window)
    return;
  busy_ = true;
  store_.ReadTable(tables::kUsageParts,
                   [this, window = *window](const Result<RowsAnswer>& answer) {
                     busy_ = false;
                     if (answer)
                       OnParts(window, answer.value().rows);
                   });
}

void DutyRunner::OnParts(WindowNumber window,
                         const std::vector<TableRow>& rows) {
  UsageParts parts;
  for (const TableRow& row : rows) {
    auto part = DecodeUsagePart(row.value);
    if (part)
      parts.Put(row.key, std::move(part.value()));
    else
      Log(gateway_events::kMemberUnreadable,
          {{"row", row.key}, {"cause", part.error().message}});
  }
  // Instances that ended before they wrote their figures had told some.
  UsageParts known = parts;
  known.Raise(state_.peer_usage());
  const Instant now = BootClock::now();
  std::vector<InstanceId> alive;
  for (const Member* member : state_.members().All()) {
    if (!state_.members().IsSilent(member->instance, now))
      alive.push_back(member->instance);
  }
  if (awaited_window_ != window) {
    awaited_window_ = window;
    awaited_since_ = now;
  }
  // The next step reads again.
  const bool late = schedule_.IsLate(window, state_.WallTime(now)) &&
                    now - awaited_since_ >= kShortestWait;
  if (!late && known.IsAwaited(window, alive))
    return;
  const UsageSeal seal{window, known.Sum(window), schedule_.reported_through()};
  if (seal.counts.empty())
    // Nothing ran, and nothing is to be reported.
    schedule_.NoteSealed(seal);
  else
    CommitSeal(seal, parts);
}

void DutyRunner::CommitSeal(const UsageSeal& seal, const UsageParts& parts) {
  if (!lease_->HoldsFor(kCallTime, BootClock::now()))
    return;
  StoreChange change;
  const std::string key = std::to_string(seal.window.value());
  change.Expect(tables::kLease, tables::kLeaseKey, lease_->version())
      .Expect(tables::kUsage, key, RowVersion(0))
      .Put(tables::kUsage, key, EncodeSeal(seal));
  for (const WindowNumber old : schedule_.OutdatedSeals())
    change.Remove(tables::kUsage, std::to_string(old.value()));
  std::size_t removed = 0;
  for (const std::string& old : parts.Outdated(seal.window - kKeptParts)) {
    if (++removed <= kMaxRemoved)
      change.Remove(tables::kUsageParts, old);
  }
  busy_ = true;
  store_.Commit(change, [this, seal](const Result<CommitAnswer>& answer) {
    busy_ = false;
    if (answer && answer.value().committed) {
      schedule_.NoteSealed(seal);
      AdvanceUsage();
      return;
    }
    // Sealed by another holder, or by a commit whose answer was lost: the store
    // tells.
    loaded_ = false;
  });
}

void DutyRunner::ReportNext() {
  const UsageSeal* seal = schedule_.NextToReport();
  const WindowNumber window = seal->window;
  busy_ = true;
  client_.ReportUsage(Holder(*lease_), window, seal->counts,
                      [this, window](DutyOutcome outcome) {
                        busy_ = false;
                        const bool accepted = outcome == DutyOutcome::kAccepted;
                        Log(accepted ? gateway_events::kUsageReported
                                     : gateway_events::kUsageNotReported,
                            {{"window", std::to_string(window.value())}});
                        if (!accepted)
                          return;
                        schedule_.NoteReported(window);
                        AdvanceUsage();
                      });
}

void DutyRunner::PlanOrders(Instant now) {
  if (!state_.policy())
    return;
  for (const auto& [id, pool] : state_.policy()->pools()) {
    if (!pool.scaling)
      continue;
    const PoolDemand demand =
        MeasureDemand(pool, state_.backends().Listed(id), state_.loads());
    for (BackendOrder& order : planner_.Plan(pool, demand, now))
      orders_.push_back(std::move(order));
  }
}

void DutyRunner::SendOrders() {
  const Instant now = BootClock::now();
  if (orders_.empty() || !lease_->HoldsFor(kCallTime, now))
    return;
  const BackendOrder order = orders_.front();
  orders_.pop_front();
  order_open_ = true;
  client_.Order(Holder(*lease_), order, [this, order](DutyOutcome outcome) {
    order_open_ = false;
    planner_.NoteOutcome(order, outcome, BootClock::now());
    LogOrder(order, outcome);
    SendOrders();
  });
}

DutyHolder DutyRunner::Holder(const DutyLease& lease) const {
  return {state_.settings().instance, lease.token()};
}

}  // namespace bamboomount
