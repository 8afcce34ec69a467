#include "gateway/replication/table_follower.h"

#include <algorithm>
#include <utility>

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr Millis kFirstRetry{50};
// Short enough to notice the store's return well within the time in which a
// configuration must be in force.
constexpr Millis kMaxRetry{400};
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
  busy_ = true;
  ReadTable();
}

void TableFollower::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TableFollower::Watch(Millis wait) {
  watch_wait_ = wait;
  if (!busy_)
    Continue();
}

void TableFollower::ReadTable() {
  store_.ReadTable(options_.table, [this](Result<RowsResponse> answer) {
    if (stopped_)
      return;
    if (!answer) {
      OnFailure(answer.error());
      return;
    }
    OnTableRead(answer.value());
    After(options_.pause, &TableFollower::Continue);
  });
}

void TableFollower::OnTableRead(const RowsResponse& answer) {
  OnSuccess(answer.info);
  // Another instance may have told more meanwhile.
  if (!replica_.known() || answer.info.position >= replica_.position()) {
    replica_.Reset(answer.rows, answer.info.position);
    TellTable(answer.rows);
    Confirm(answer.info);
  }
}

void TableFollower::Continue() {
  busy_ = watch_wait_.has_value();
  if (busy_)
    ReadChanges();
}

void TableFollower::ReadChanges() {
  store_.ReadChanges(options_.table, replica_.position(),
                     watch_wait_.value_or(Millis(0)),
                     [this](Result<RowsResponse> answer) {
                       if (stopped_)
                         return;
                       if (!answer) {
                         OnFailure(answer.error());
                         return;
                       }
                       OnSuccess(answer.value().info);
                       Apply(answer.value());
                       After(options_.pause, &TableFollower::Continue);
                     });
}

void TableFollower::Apply(const RowsResponse& answer) {
  TellChanges(replica_.Apply(answer.rows, answer.info.position));
  Confirm(answer.info);
}

void TableFollower::TellTable(const std::vector<TableRow>& rows) {
  observer_.OnTable(rows);
  if (advanced_)
    advanced_();
}

void TableFollower::TellChanges(const std::vector<TableRow>& rows) {
  if (rows.empty())
    return;
  observer_.OnChanges(rows);
  if (advanced_)
    advanced_();
}

void TableFollower::Confirm(const StoreResponseInfo& info) {
  confirmed_ = std::max(confirmed_, info.store_time);
  observer_.OnConfirmed(info);
}

void TableFollower::Ask(AsyncTableStore& store) {
  if (!replica_.known() || asking_ || stopped_)
    return;
  asking_ = true;
  store.ReadChanges(
      options_.table, replica_.position(), Millis(0),
      [this, &store](Result<RowsResponse> answer) {
        asking_ = false;
        if (stopped_)
          return;
        if (answer) {
          OnSuccess(answer.value().info);
          Apply(answer.value());
        } else if (answer.error().code == ErrorCode::kHistoryLost) {
          Log(gateway_events::kHistoryLost, {{"table", options_.table}});
          asking_ = true;
          store.ReadTable(options_.table, [this](Result<RowsResponse> table) {
            asking_ = false;
            if (!stopped_ && table)
              OnTableRead(table.value());
          });
        } else if (!busy_) {
          // A follower that listens has no other way to notice.
          ++failures_;
        }
      });
}

void TableFollower::OnPeerNews(const TableNews& news, const PeerCall& call) {
  if (stopped_ || !replica_.known())
    return;
  if (replica_.Covers(news)) {
    replica_.NoteUnchanged(news.position);
    confirmed_ = std::max(confirmed_, news.confirmed);
    observer_.OnConfirmedByPeer(news.confirmed);
    return;
  }
  if (asking_peer_)
    return;
  asking_peer_ = true;
  call(replica_.position(), [this](const std::optional<PeerRows>& answer) {
    asking_peer_ = false;
    if (!stopped_ && answer)
      ApplyPeerRows(*answer);
  });
}

void TableFollower::ApplyPeerRows(const PeerRows& answer) {
  if (answer.whole) {
    if (answer.news.position < replica_.position())
      return;
    replica_.Reset(answer.rows, answer.news.position);
    TellTable(answer.rows);
  } else {
    TellChanges(replica_.Apply(answer.rows, answer.news.position));
  }
  confirmed_ = std::max(confirmed_, answer.news.confirmed);
  observer_.OnConfirmedByPeer(answer.news.confirmed);
}

TableNews TableFollower::news() const {
  return {replica_.revision(), replica_.position(), confirmed_,
          replica_.digest()};
}

PeerRows TableFollower::RowsSince(RowVersion position) const {
  const auto changes = replica_.ChangesSince(position);
  if (changes)
    return {false, *changes, news()};
  return {true, replica_.Rows(), news()};
}

void TableFollower::OnFailure(const Error& error) {
  if (error.code == ErrorCode::kHistoryLost) {
    Log(gateway_events::kHistoryLost, {{"table", options_.table}});
    ReadTable();
    return;
  }
  if (failures_ == 0)
    Log(gateway_events::kStoreLost,
        {{"table", options_.table}, {"cause", error.message}});
  const Millis delay = std::min(
      kMaxRetry, kFirstRetry * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  After(delay, replica_.known() ? &TableFollower::Continue
                                : &TableFollower::ReadTable);
}

void TableFollower::OnSuccess(const StoreResponseInfo& info) {
  if (std::exchange(failures_, 0) == 0)
    return;
  Log(gateway_events::kStoreRegained, {{"table", options_.table}});
  observer_.OnStoreBack(info);
}

void TableFollower::After(Millis delay, void (TableFollower::*step)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, step](const error_code&) {
    if (!stopped_)
      (this->*step)();
  });
}

}  // namespace bamboomount
