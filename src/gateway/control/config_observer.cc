#include "gateway/control/config_observer.h"

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {

void ConfigObserver::OnSnapshot(const std::vector<TableRow>& rows) {
  OnChanges(rows);
}

void ConfigObserver::OnConfirmed(const StoreResponseInfo& info) {
  if (IsReadable())
    state_.freshness().Confirm(info.sent, info.store_time);
}

void ConfigObserver::OnConfirmedByPeer(Millis store_time) {
  if (IsReadable())
    state_.freshness().ConfirmByPeer(store_time, BootClock::now());
}

void ConfigObserver::OnChanges(const std::vector<TableRow>& rows) {
  // Several versions may have gathered; only the last one counts.
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
  if (!state_.ApplyPolicy(applied))
    return;
  Log(gateway_events::kConfigApplied,
      {{"version", std::to_string(applied->version().value())},
       {"routes", std::to_string(applied->route_count())}});
}

}  // namespace bamboomount
