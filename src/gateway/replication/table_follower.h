#ifndef GATEWAY_REPLICATION_TABLE_FOLLOWER_H_
#define GATEWAY_REPLICATION_TABLE_FOLLOWER_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/control/async_table_store.h"
#include "gateway/internal/asio.h"
#include "gateway/replication/table_replica.h"

namespace bamboomount {

// What a follower tells of its table. All calls come in the store's order; rows
// come before the confirmation that they belong to.
class TableObserver {
 public:
  virtual ~TableObserver() = default;

  // The table has exactly these rows.
  virtual void OnSnapshot(const std::vector<TableRow>& rows) = 0;
  // These rows changed, in order.
  virtual void OnChanges(const std::vector<TableRow>& rows) = 0;
  // All changes up to an answer of the store are known.
  virtual void OnConfirmed(const StoreResponseInfo& /*info*/) {}
  // All changes up to a moment of the store's clock are known, as another
  // instance told.
  virtual void OnConfirmedByPeer(Millis /*store_time*/) {}
  // The store answers again after calls that failed. Comes before the rows.
  virtual void OnStoreRecovered(const StoreResponseInfo& /*info*/) {}
};

// Keeps up with one table of the store.
//
// A few instances of the fleet watch the store; the others listen: other
// instances tell them how far they know the table, and those that know more are
// asked for the changes. A change that is no longer to be had, or a call
// without an answer, never leaves a gap.
class TableFollower {
 public:
  struct Options {
    std::string table;
    // Pause between two calls while watching, during which changes gather into
    // one answer.
    Millis pause{0};
  };
  // Asks another instance for the changes after a version.
  using PeerFetch =
      std::function<void(RowVersion after,
                         std::function<void(std::optional<PeerRows>)> done)>;

  TableFollower(asio::io_context& context,
                AsyncTableStore& store,
                Options options,
                TableObserver& observer);

  // Called when rows changed.
  void SetChangeCallback(std::function<void()> callback) {
    on_change_ = std::move(callback);
  }
  // Reads the table from the store, until that succeeds.
  void Start();
  void Stop();
  // Asks the store for changes again and again; it may wait for `wait` before
  // it answers that there are none.
  void Watch(Millis wait);
  // Leaves the watching to other instances.
  void StopWatching() { watch_wait_.reset(); }
  // Asks `store`, which must be another object, once whether there are changes.
  // Nothing happens before the table was read or while such a question is open.
  void PollOnce(AsyncTableStore& store);
  // Another instance told what it knows; `call` asks it for more.
  void OnPeerStatus(const ReplicaStatus& status, const PeerFetch& fetch);

  const std::string& table() const { return options_.table; }
  bool is_loaded() const { return replica_.is_loaded(); }
  ReplicaStatus status() const;
  // What another instance is told that knows all changes up to `position`.
  PeerRows RowsSince(RowVersion position) const;
  // Whether the last calls to the store failed.
  bool store_failed() const { return failures_ > 0; }

 private:
  void ReadTable();
  void ReadChanges();
  void OnTableRead(const RowsResponse& answer);
  void Apply(const RowsResponse& answer);
  void ApplyPeerRows(const PeerRows& answer);
  void Confirm(const StoreResponseInfo& info);
  void NotifySnapshot(const std::vector<TableRow>& rows);
  void NotifyChanges(const std::vector<TableRow>& rows);
  void OnFailure(const Error& error);
  void OnSuccess(const StoreResponseInfo& info);
  void ContinueWatching();
  void ScheduleStep(Millis delay, void (TableFollower::*step)());

  AsyncTableStore& store_;
  const Options options_;
  TableObserver& observer_;
  asio::steady_timer timer_;
  std::function<void()> on_change_;
  TableReplica replica_;
  Millis confirmed_{0};
  // Set while watching.
  std::optional<Millis> watch_wait_;
  // A call to the store or a pause before one is in progress.
  bool watch_call_pending_ = false;
  int failures_ = 0;
  bool stopped_ = false;
  bool poll_pending_ = false;
  bool peer_fetch_pending_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_TABLE_FOLLOWER_H_
