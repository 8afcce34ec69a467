#include "gateway/control/table_follower.h"

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
  ReadTable();
}

void TableFollower::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TableFollower::ReadTable() {
  store_.ReadTable(options_.table, [this](Result<RowsAnswer> answer) {
    if (stopped_)
      return;
    if (!answer) {
      OnFailure(answer.error());
      return;
    }
    OnSuccess();
    position_ = answer.value().moment.position;
    has_position_ = true;
    observer_.OnTable(answer.value().rows, answer.value().moment);
    After(options_.pause, &TableFollower::ReadChanges);
  });
}

void TableFollower::ReadChanges() {
  store_.ReadChanges(options_.table, position_, options_.wait,
                     [this](Result<RowsAnswer> answer) {
                       if (stopped_)
                         return;
                       if (!answer) {
                         OnFailure(answer.error());
                         return;
                       }
                       OnSuccess();
                       Apply(answer.value());
                       After(options_.pause, &TableFollower::ReadChanges);
                     });
}

void TableFollower::Apply(const RowsAnswer& answer) {
  // Changes that another answer has brought already are told once.
  RowsAnswer fresh = answer;
  std::erase_if(fresh.rows, [this](const TableRow& row) {
    return row.version <= position_;
  });
  position_ = std::max(position_, answer.moment.position);
  observer_.OnChanges(fresh.rows, fresh.moment);
}

void TableFollower::Confirm(AsyncTableStore& store) {
  if (!has_position_ || confirming_ || stopped_)
    return;
  confirming_ = true;
  store.ReadChanges(options_.table, position_, Millis(0),
                    [this](Result<RowsAnswer> answer) {
                      confirming_ = false;
                      if (!stopped_ && has_position_ && answer)
                        Apply(answer.value());
                    });
}

void TableFollower::EndPause() {
  if (pausing_)
    timer_.cancel();
}

void TableFollower::OnFailure(const Error& error) {
  if (error.code == ErrorCode::kHistoryLost) {
    Log(gateway_events::kHistoryLost, {{"table", options_.table}});
    has_position_ = false;
    ReadTable();
    return;
  }
  if (failures_ == 0) {
    Log(gateway_events::kStoreLost,
        {{"table", options_.table}, {"cause", error.message}});
    observer_.OnStoreAway(error);
  }
  const Millis delay = std::min(
      kMaxRetry, kFirstRetry * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  After(delay, has_position_ ? &TableFollower::ReadChanges
                             : &TableFollower::ReadTable);
}

void TableFollower::OnSuccess() {
  if (std::exchange(failures_, 0) == 0)
    return;
  Log(gateway_events::kStoreRegained, {{"table", options_.table}});
  observer_.OnStoreBack(BootClock::now());
}

void TableFollower::After(Millis delay, void (TableFollower::*step)()) {
  if (delay == Millis(0)) {
    (this->*step)();
    return;
  }
  pausing_ = true;
  timer_.expires_after(delay);
  timer_.async_wait([this, step](const error_code&) {
    pausing_ = false;
    if (!stopped_)
      (this->*step)();
  });
}

}  // namespace bamboomount
