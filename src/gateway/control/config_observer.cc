#include "gateway/control/config_observer.h"

#include <utility>

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

// Time within which the operator writes again what a restore of the store has
// lost.
constexpr Millis kRewriteTime{2200};

}  // namespace

void ConfigObserver::OnSnapshot(const std::vector<TableRow>& rows) {
  ApplyConfig(rows);
  listed_evacuations_.clear();
  UpdateEvacuations(rows);
}

void ConfigObserver::OnChanges(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows) {
    // The operator has written it since the restore.
    if (row.key == decoder_.config_key())
      config_is_rewritten_ = true;
  }
  ApplyConfig(rows);
  UpdateEvacuations(rows);
}

void ConfigObserver::OnStoreRestored(Millis /*store_time*/) {
  lacks_rows_until_ = BootClock::now() + kRewriteTime;
  config_is_rewritten_ = false;
  evacuations_before_restore_ = state().backends().evacuated_zones();
}

bool ConfigObserver::MayLackRows() const {
  return lacks_rows_until_ && BootClock::now() < *lacks_rows_until_;
}

bool ConfigObserver::IsConfirmable() {
  return !unreadable_ && state().policy() &&
         (config_is_rewritten_ || !MayLackRows());
}

void ConfigObserver::UpdateEvacuations(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows) {
    const auto zone = decoder_.EvacuatedZone(row.key);
    if (!zone)
      continue;
    if (row.deleted)
      listed_evacuations_.erase(*zone);
    else
      listed_evacuations_.insert(*zone);
  }
  ApplyEvacuations();
}

void ConfigObserver::ApplyEvacuations() {
  if (!MayLackRows())
    evacuations_before_restore_.clear();
  std::set<ZoneId> zones = listed_evacuations_;
  zones.insert(evacuations_before_restore_.begin(),
               evacuations_before_restore_.end());
  const std::set<ZoneId> before = state().backends().evacuated_zones();
  if (zones == before)
    return;
  for (const ZoneId& zone : zones) {
    if (!before.contains(zone))
      Log(gateway_events::kEvacuationBegan, {{"zone", zone.value()}});
  }
  for (const ZoneId& zone : before) {
    if (zones.contains(zone))
      continue;
    Log(gateway_events::kEvacuationEnded, {{"zone", zone.value()}});
    state().cold_pacer().RecordEvacuationEnd(zone, BootClock::now());
  }
  state().backends().SetEvacuatedZones(std::move(zones));
  dispatcher_.WakeAll();
}

void ConfigObserver::OnConfirmed(const StoreResponseInfo& info) {
  if (!IsConfirmable())
    return;
  ApplyEvacuations();
  state().freshness().Confirm(info.sent, info.store_time);
}

void ConfigObserver::OnConfirmedByPeer(Millis store_time) {
  if (!IsConfirmable())
    return;
  ApplyEvacuations();
  state().freshness().ConfirmByPeer(store_time, BootClock::now());
}

void ConfigObserver::ApplyConfig(const std::vector<TableRow>& rows) {
  // Several versions may have accumulated; only the last one is applied.
  const TableRow* newest = nullptr;
  for (const TableRow& row : rows) {
    if (row.key == decoder_.config_key() && !row.deleted)
      newest = &row;
  }
  if (!newest)
    return;
  auto policy = decoder_.DecodePolicy(newest->value);
  unreadable_ = !policy;
  if (!policy) {
    Log(gateway_events::kConfigUnreadable, {{"cause", policy.error().message}});
    return;
  }
  const auto applied = policy.value();
  if (!state().ApplyPolicy(applied))
    return;
  Log(gateway_events::kConfigApplied,
      {{"version", std::to_string(applied->version().value())},
       {"routes", std::to_string(applied->route_count())}});
}

}  // namespace bamboomount
