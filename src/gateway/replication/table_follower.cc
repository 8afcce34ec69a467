#include "gateway/replication/table_follower.h"

#include <algorithm>
#include <utility>

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr Millis kInitialRetryDelay{50};
// Upper bound on the delay before a failed call is repeated. Short enough to
// detect a store recovery well within the deadline by which a configuration
// must be in force.
constexpr Millis kMaxRetryDelay{400};
constexpr int kMaxDoublings = 3;

}  // namespace

TableFollower::TableFollower(asio::io_context& context,
                             AsyncTableStore& store,
                             Options options,
                             TableObserver& observer)
    : store_(store),
      options_(std::move(options)),
      observer_(observer),
      timer_(context) {}

void TableFollower::Start() {
  watch_call_pending_ = true;
  ReadTable();
}

void TableFollower::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TableFollower::Watch(Millis wait) {
  watch_wait_ = wait;
  if (!watch_call_pending_)
    ContinueWatching();
}

void TableFollower::ReadTable() {
  store_.ReadTable(options_.table, [this](Result<RowsResponse> response) {
    if (stopped_)
      return;
    if (!response) {
      OnFailure(response.error());
      return;
    }
    OnTableRead(response.value());
    ScheduleStep(options_.pause, &TableFollower::ContinueWatching);
  });
}

void TableFollower::OnTableRead(const RowsResponse& response) {
  OnSuccess(response.info);
  const TablePosition position = response.info.table_position();
  // The replica may have advanced further by gossip during the call.
  if (replica_.is_loaded() && position < replica_.position()) {
    LogReadDropped(response.info);
    return;
  }
  Replace(response.rows, position, response.info.store_time);
  Confirm(response.info);
}

void TableFollower::Replace(const std::vector<TableRow>& rows,
                            const TablePosition& position,
                            Millis store_time) {
  const bool restored = replica_.is_loaded() && position.era != era();
  if (restored) {
    LogRestored(position);
    // The clock of the store may have gone back too.
    confirmed_ = Millis(0);
  }
  replica_.Reset(rows, position);
  if (restored)
    observer_.OnStoreRestored(store_time);
  NotifySnapshot(rows);
}

void TableFollower::LogHistoryLost() const {
  Log(gateway_events::kHistoryLost,
      {{"table", options_.table},
       {"position", std::to_string(replica_.position().version.value())},
       {"era", std::to_string(era().value())}});
}

void TableFollower::LogRestored(const TablePosition& position) const {
  Log(gateway_events::kTableRestored,
      {{"table", options_.table},
       {"era_before", std::to_string(era().value())},
       {"version_before", std::to_string(replica_.position().version.value())},
       {"era", std::to_string(position.era.value())},
       {"version", std::to_string(position.version.value())}});
}

void TableFollower::LogReadDropped(const StoreResponseInfo& info) const {
  Log(gateway_events::kTableReadDropped,
      {{"table", options_.table},
       {"position", std::to_string(replica_.position().version.value())},
       {"era", std::to_string(era().value())},
       {"read_position", std::to_string(info.position.value())},
       {"read_era", std::to_string(info.era.value())}});
}

void TableFollower::ContinueWatching() {
  watch_call_pending_ = watch_wait_.has_value();
  if (watch_call_pending_)
    ReadChanges();
}

void TableFollower::ReadChanges() {
  const TablePosition from = replica_.position();
  store_.ReadChanges(
      options_.table, from.version, watch_wait_.value_or(Millis(0)),
      [this, from](Result<RowsResponse> response) {
        if (stopped_)
          return;
        if (!response) {
          OnFailure(response.error());
          return;
        }
        OnSuccess(response.value().info);
        if (!Apply(response.value(), from) && response.value().info.era > era())
          ReadTable();
        else
          ScheduleStep(options_.pause, &TableFollower::ContinueWatching);
      });
}

bool TableFollower::Apply(const RowsResponse& response,
                          const TablePosition& from) {
  const TablePosition position = response.info.table_position();
  if (position.era != from.era || position.era != era())
    return false;
  NotifyChanges(replica_.Apply(response.rows, position.version));
  Confirm(response.info);
  return true;
}

void TableFollower::NotifySnapshot(const std::vector<TableRow>& rows) {
  observer_.OnSnapshot(rows);
  if (on_change_)
    on_change_();
}

void TableFollower::NotifyChanges(const std::vector<TableRow>& rows) {
  if (rows.empty())
    return;
  observer_.OnChanges(rows);
  if (on_change_)
    on_change_();
}

void TableFollower::Confirm(const StoreResponseInfo& info) {
  confirmed_ = std::max(confirmed_, info.store_time);
  observer_.OnConfirmed(info);
}

void TableFollower::PollOnce(AsyncTableStore& store) {
  if (!replica_.is_loaded() || poll_pending_ || stopped_)
    return;
  poll_pending_ = true;
  const TablePosition from = replica_.position();
  store.ReadChanges(
      options_.table, from.version, Millis(0),
      [this, &store, from](Result<RowsResponse> response) {
        poll_pending_ = false;
        if (stopped_)
          return;
        if (response) {
          OnSuccess(response.value().info);
          if (!Apply(response.value(), from) &&
              response.value().info.era > era())
            ReadTableOnce(store);
        } else if (response.error().code == ErrorCode::kHistoryLost) {
          LogHistoryLost();
          ReadTableOnce(store);
        } else {
          Log(gateway_events::kStorePollFailed,
              {{"table", options_.table}, {"cause", response.error().message}});
          // While not watching, the follower has no other call that would
          // detect a store outage.
          if (!watch_call_pending_)
            ++failures_;
        }
      });
}

void TableFollower::ReadTableOnce(AsyncTableStore& store) {
  poll_pending_ = true;
  store.ReadTable(options_.table, [this](Result<RowsResponse> table) {
    poll_pending_ = false;
    if (!stopped_ && table)
      OnTableRead(table.value());
  });
}

void TableFollower::OnPeerStatus(const ReplicaStatus& status,
                                 const PeerFetch& fetch) {
  if (stopped_ || !replica_.is_loaded() || status.position.era < era())
    return;
  if (replica_.AdvanceTo(status)) {
    confirmed_ = std::max(confirmed_, status.confirmed);
    observer_.OnConfirmedByPeer(status.confirmed);
    return;
  }
  if (peer_fetch_pending_)
    return;
  peer_fetch_pending_ = true;
  fetch(replica_.position(), [this](const std::optional<PeerRows>& response) {
    peer_fetch_pending_ = false;
    if (!stopped_ && response)
      ApplyPeerRows(*response);
  });
}

void TableFollower::ApplyPeerRows(const PeerRows& response) {
  const TablePosition& position = response.status.position;
  if (response.is_snapshot) {
    if (position < replica_.position())
      return;
    Replace(response.rows, position, response.status.confirmed);
  } else {
    if (position.era != era())
      return;
    NotifyChanges(replica_.Apply(response.rows, position.version));
  }
  confirmed_ = std::max(confirmed_, response.status.confirmed);
  observer_.OnConfirmedByPeer(response.status.confirmed);
}

ReplicaStatus TableFollower::status() const {
  return {replica_.revision(), replica_.position(), confirmed_,
          replica_.digest()};
}

PeerRows TableFollower::RowsSince(const TablePosition& position) const {
  const auto changes = replica_.ChangesSince(position);
  if (changes)
    return {false, *changes, status()};
  return {true, replica_.Rows(), status()};
}

void TableFollower::OnFailure(const Error& error) {
  if (error.code == ErrorCode::kHistoryLost) {
    LogHistoryLost();
    ReadTable();
    return;
  }
  if (failures_ == 0)
    Log(gateway_events::kStoreLost,
        {{"table", options_.table}, {"cause", error.message}});
  const Millis delay =
      std::min(kMaxRetryDelay,
               kInitialRetryDelay * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  ScheduleStep(delay, replica_.is_loaded() ? &TableFollower::ContinueWatching
                                           : &TableFollower::ReadTable);
}

void TableFollower::OnSuccess(const StoreResponseInfo& info) {
  if (std::exchange(failures_, 0) == 0)
    return;
  Log(gateway_events::kStoreRegained, {{"table", options_.table}});
  observer_.OnStoreRecovered(info);
}

void TableFollower::ScheduleStep(Millis delay, void (TableFollower::*step)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, step](const error_code&) {
    if (!stopped_)
      (this->*step)();
  });
}

}  // namespace bamboomount
