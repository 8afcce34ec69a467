#ifndef GATEWAY_CONTROL_TABLE_FOLLOWER_H_
#define GATEWAY_CONTROL_TABLE_FOLLOWER_H_

#include <string>
#include <vector>

#include "gateway/control/async_table_store.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// What a follower tells of its table. All calls come in the store's order.
class TableObserver {
 public:
  virtual ~TableObserver() = default;

  // The table has exactly these rows.
  virtual void OnTable(const std::vector<TableRow>& rows,
                       const StoreMoment& moment) = 0;
  // These rows changed, in order. Empty: there was no change up to `moment`.
  virtual void OnChanges(const std::vector<TableRow>& rows,
                         const StoreMoment& moment) = 0;
  // The store stopped answering, or answers again.
  virtual void OnStoreAway(const Error& /*error*/) {}
  virtual void OnStoreBack(Instant /*now*/) {}
};

// Keeps up with one table: reads it once, then waits for changes. A change that
// is no longer to be had, or a call without an answer, never leaves a gap.
class TableFollower {
 public:
  struct Options {
    std::string table;
    // How long the store may wait for changes before it answers without any.
    Millis wait{1500};
    // Pause between two calls, during which changes gather into one answer.
    Millis pause{0};
  };

  TableFollower(asio::io_context& context,
                AsyncTableStore& store,
                Options options,
                TableObserver& observer);

  void Start();
  void Stop();
  bool store_away() const { return failures_ > 0; }
  // Pause between two calls from now on.
  void SetPause(Millis pause) { options_.pause = pause; }
  // Ends a pause in progress.
  void EndPause();
  // Asks `store`, which must be another object, whether there are changes that
  // the call in progress has not brought. Nothing happens before the table was
  // read or while such a question is open.
  void Confirm(AsyncTableStore& store);

 private:
  void ReadTable();
  void ReadChanges();
  void OnFailure(const Error& error);
  void OnSuccess();
  void Apply(const RowsAnswer& answer);
  void After(Millis delay, void (TableFollower::*step)());

  AsyncTableStore& store_;
  Options options_;
  TableObserver& observer_;
  asio::steady_timer timer_;
  RowVersion position_;
  // The table was read and no change since was missed.
  bool has_position_ = false;
  int failures_ = 0;
  bool stopped_ = false;
  bool pausing_ = false;
  bool confirming_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_TABLE_FOLLOWER_H_
