#include "gateway/control/duty_runner.h"

#include <utility>

#include "gateway/control/table_names.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

// Minimum time for which missing counts are awaited. Instances that could not
// write during an outage of the store do so within this time after its return.
constexpr Millis kMinUsageWait{1500};
// Number of recent windows for which rows of ended processes are retained.
constexpr WindowNumber kRetainedUsageWindows(4);
// Maximum number of usage rows that one transaction removes.
constexpr std::size_t kMaxRemovedRows = 50;

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
                       GatewayState& state,
                       Incarnation incarnation)
    : store_(store),
      client_(client),
      state_(state),
      incarnation_(std::move(incarnation)),
      schedule_(state.settings().usage_window) {}

void DutyRunner::OnLeaseTaken() {
  seals_loaded_ = false;
  orders_.clear();
  planner_.Reset();
}

void DutyRunner::Step(const DutyLease& lease, Instant now) {
  lease_ = &lease;
  if (!lease.HoldsFor(kMinLeaseForCall, now))
    return;
  if (state_.settings().orders_backends && !order_in_flight_) {
    if (orders_.empty())
      PlanOrders(now);
    SendOrders();
  }
  if (state_.settings().reports_usage && !usage_call_in_flight_)
    AdvanceUsage();
}

void DutyRunner::AdvanceUsage() {
  const Instant now = BootClock::now();
  if (!lease_->HoldsFor(kMinLeaseForCall, now))
    return;
  state_.usage_delivery().RecordReceived(lease_->token(),
                                         state_.LastEndedWindow(now));
  if (!seals_loaded_)
    LoadSeals();
  else if (schedule_.NextToReport())
    ReportNext();
  else
    SealNext(now);
}

void DutyRunner::LoadSeals() {
  usage_call_in_flight_ = true;
  store_.ReadTable(tables::kUsage, [this](Result<RowsResponse> response) {
    usage_call_in_flight_ = false;
    if (!response || !IsOfTenure(response.value().info))
      return;
    std::vector<UsageSeal> seals;
    for (const TableRow& row : response.value().rows) {
      const auto seal = DecodeSeal(row.value);
      if (seal)
        seals.push_back(seal.value());
      else
        Log(gateway_events::kMemberUnreadable,
            {{"row", row.key}, {"cause", seal.error().message}});
    }
    schedule_.Load(seals);
    schedule_.SkipThrough(lease_->sealed_through());
    // Seals of these windows may differ from what was reported.
    schedule_.MarkReported(lease_->sealed_through());
    schedule_.SkipThrough(state_.usage_delivery().sealed_through());
    state_.usage_delivery().ObserveSealed(schedule_.sealed_through());
    seals_loaded_ = true;
    AdvanceUsage();
  });
}

void DutyRunner::SealNext(Instant now) {
  const auto window = schedule_.NextToSeal(state_.WallTime(now));
  if (!window)
    return;
  usage_call_in_flight_ = true;
  store_.ReadTable(
      tables::kIncarnationUsage,
      [this, window = *window](const Result<RowsResponse>& response) {
        usage_call_in_flight_ = false;
        if (response && IsOfTenure(response.value().info))
          OnUsageRead(window, response.value().rows);
      });
}

void DutyRunner::OnUsageRead(WindowNumber window,
                             const std::vector<TableRow>& rows) {
  UsageByIncarnation stored;
  for (const TableRow& row : rows) {
    auto usage = DecodeIncarnationUsage(row.value);
    if (usage)
      stored.Put(row.key, std::move(usage.value()));
    else
      Log(gateway_events::kMemberUnreadable,
          {{"row", row.key}, {"cause", usage.error().message}});
  }
  const UsageByIncarnation known = CollectUsage(stored);
  const Instant now = BootClock::now();
  std::vector<InstanceId> live_instances;
  for (const Member* member : state_.members().All()) {
    if (!state_.members().IsSilent(member->instance, now))
      live_instances.push_back(member->instance);
  }
  if (pending_window_ != window) {
    pending_window_ = window;
    pending_since_ = now;
  }
  // If counts are missing, the next Step reads them again.
  const bool late = schedule_.IsLate(window, state_.WallTime(now)) &&
                    now - pending_since_ >= kMinUsageWait;
  if (!late && known.IsIncomplete(window, live_instances))
    return;
  const UsageSeal seal{window, known.Sum(window), schedule_.reported_through()};
  if (seal.counts.empty())
    // No requests started in the window, so there is nothing to report.
    MarkSealed(seal);
  else
    CommitSeal(seal, stored);
}

UsageByIncarnation DutyRunner::CollectUsage(
    const UsageByIncarnation& stored) const {
  UsageByIncarnation own;
  const IncarnationUsage usage = state_.LocalUsage(BootClock::now());
  if (!usage.windows.empty())
    own.Put(incarnation_.value(), usage);
  UsageByIncarnation collected = stored;
  collected.MergeMaximum(state_.peer_usage());
  collected.MergeMaximum(own);
  return collected;
}

void DutyRunner::MarkSealed(const UsageSeal& seal) {
  schedule_.MarkSealed(seal);
  state_.usage_delivery().ObserveSealed(schedule_.sealed_through());
}

void DutyRunner::CommitSeal(const UsageSeal& seal,
                            const UsageByIncarnation& stored) {
  if (!lease_->HoldsFor(kMinLeaseForCall, BootClock::now()))
    return;
  StoreTransaction transaction;
  const std::string key = std::to_string(seal.window.value());
  transaction.Expect(tables::kLease, tables::kLeaseKey, lease_->version())
      .Expect(tables::kUsage, key, RowVersion(0))
      .Put(tables::kUsage, key, EncodeSeal(seal));
  for (const WindowNumber old : schedule_.OutdatedSeals())
    transaction.Remove(tables::kUsage, std::to_string(old.value()));
  std::size_t removed = 0;
  for (const std::string& old :
       stored.OutdatedKeys(seal.window - kRetainedUsageWindows)) {
    if (++removed <= kMaxRemovedRows)
      transaction.Remove(tables::kIncarnationUsage, old);
  }
  usage_call_in_flight_ = true;
  store_.Commit(transaction,
                [this, seal](const Result<CommitResponse>& response) {
                  usage_call_in_flight_ = false;
                  if (response && response.value().committed &&
                      IsOfTenure(response.value().info)) {
                    MarkSealed(seal);
                    AdvanceUsage();
                    return;
                  }
                  // The window was sealed by another holder, or by a commit
                  // whose response was lost. Reading the seals again shows
                  // which.
                  seals_loaded_ = false;
                });
}

void DutyRunner::ReportNext() {
  const UsageSeal* seal = schedule_.NextToReport();
  const WindowNumber window = seal->window;
  usage_call_in_flight_ = true;
  client_.ReportUsage(Holder(*lease_), window, seal->counts,
                      [this, window](DutyOutcome outcome) {
                        usage_call_in_flight_ = false;
                        const bool accepted = outcome == DutyOutcome::kAccepted;
                        Log(accepted ? gateway_events::kUsageReported
                                     : gateway_events::kUsageNotReported,
                            {{"window", std::to_string(window.value())}});
                        if (!accepted)
                          return;
                        schedule_.MarkReported(window);
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
        MeasureDemand(pool, state_.backends().Listed(id),
                      state_.backends().evacuated_zones(), state_.loads());
    for (BackendOrder& order : planner_.Plan(pool, demand, now))
      orders_.push_back(std::move(order));
  }
}

void DutyRunner::SendOrders() {
  const Instant now = BootClock::now();
  if (orders_.empty() || !lease_->HoldsFor(kMinLeaseForCall, now))
    return;
  const BackendOrder order = orders_.front();
  orders_.pop_front();
  order_in_flight_ = true;
  client_.OrderBackends(
      Holder(*lease_), order, [this, order](DutyOutcome outcome) {
        order_in_flight_ = false;
        planner_.RecordOrderOutcome(order, outcome, BootClock::now());
        LogOrder(order, outcome);
        SendOrders();
      });
}

bool DutyRunner::IsOfTenure(const StoreResponseInfo& info) const {
  return info.era == lease_->era();
}

DutyHolder DutyRunner::Holder(const DutyLease& lease) const {
  return {state_.settings().instance, lease.token()};
}

}  // namespace bamboomount
