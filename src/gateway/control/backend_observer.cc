#include "gateway/control/backend_observer.h"

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {

void BackendObserver::OnSnapshot(const std::vector<TableRow>& rows) {
  const Instant now = BootClock::now();
  std::vector<BackendServer> servers;
  for (const TableRow& row : rows) {
    const auto server = decoder_.DecodeBackend(row.key, row.value);
    if (!server) {
      Log(gateway_events::kBackendUnreadable,
          {{"backend", row.key}, {"cause", server.error().message}});
      backends().RemoveUnreadable(BackendId(row.key));
      continue;
    }
    if (!backends().IsOutdated(server.value(), now))
      ProcessListedServer(server.value());
    servers.push_back(server.value());
  }
  backends().Replace(servers, now);
  dispatcher_.state().pool_versions().RecordGap(now);
  dispatcher_.state().MarkBackendsLoaded();
  ExpireAndWakeWaiting(now);
}

void BackendObserver::OnChanges(const std::vector<TableRow>& rows) {
  const Instant now = BootClock::now();
  for (const TableRow& row : rows)
    ApplyChange(row, now);
  ExpireAndWakeWaiting(now);
}

void BackendObserver::ApplyChange(const TableRow& row, Instant now) {
  const BackendId id(row.key);
  if (row.deleted) {
    Log(gateway_events::kBackendGone, {{"backend", row.key}});
    // A server that came and left unseen may have had any version.
    if (!backends().Find(id))
      dispatcher_.state().pool_versions().RecordGap(now);
    backends().Remove(id, now);
    dispatcher_.connections().CloseIdleConnections(id);
    dispatcher_.state().health().Reset(id);
    return;
  }
  const auto server = decoder_.DecodeBackend(row.key, row.value);
  if (!server) {
    Log(gateway_events::kBackendUnreadable,
        {{"backend", row.key}, {"cause", server.error().message}});
    backends().RemoveUnreadable(id);
    return;
  }
  ProcessListedServer(server.value());
  dispatcher_.state().cold_pacer().RecordAlive(id, now);
  backends().Update(server.value(), now);
}

void BackendObserver::ProcessListedServer(const BackendServer& server) {
  dispatcher_.state().cold_pacer().RecordListed(server, BootClock::now());
  const BackendServer* known = backends().Find(server.id);
  if (known && known->draining == server.draining &&
      known->address == server.address &&
      IsSameProcess(known->started_at_ms, server.started_at_ms))
    return;
  const bool restarted =
      known && !IsSameProcess(known->started_at_ms, server.started_at_ms);
  if (restarted) {
    dispatcher_.state().cold_pacer().RecordRestart(server.id, BootClock::now());
    dispatcher_.connections().CloseIdleConnections(server.id);
    dispatcher_.state().health().Reset(server.id);
  }
  Log(gateway_events::kBackendListed,
      {{"backend", server.id.value()},
       {"pool", server.pool.value()},
       {"zone", server.zone.value()},
       {"version", server.version.value()},
       {"address", server.address},
       {"draining", server.draining ? "yes" : "no"},
       {"reclaimable", server.reclaimable ? "yes" : "no"}});
}

void BackendObserver::ExpireAndWakeWaiting(Instant now) {
  const std::uint64_t before = backends().revision();
  backends().Expire(now);
  if (before != backends().revision() || revision_ != before) {
    revision_ = backends().revision();
    dispatcher_.state().pool_versions().SetListed(backends().ListedVersions(),
                                                  now);
    dispatcher_.WakeAll();
  }
}

void BackendObserver::OnConfirmed(const StoreResponseInfo& info) {
  dispatcher_.state().ConfirmBackends(info.sent, info.store_time);
}

void BackendObserver::OnConfirmedByPeer(Millis store_time) {
  dispatcher_.state().ConfirmBackendsByPeer(store_time, BootClock::now());
}

void BackendObserver::OnStoreRestored(Millis store_time) {
  dispatcher_.state().RecordStoreRestore(store_time, BootClock::now());
}

void BackendObserver::OnStoreRecovered(const StoreResponseInfo& info) {
  GatewayState& state = dispatcher_.state();
  const Instant now = BootClock::now();
  const auto age = state.backend_freshness().Age(now);
  if (age && *age >= GatewayState::kMinOutageDuration)
    state.RecordStoreRecovery(info.store_time, now);
}

}  // namespace bamboomount
