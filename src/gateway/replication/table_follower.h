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

// Receives the state of a followed table. Calls come in the order of the store;
// rows come before the confirmation that covers them.
class TableObserver {
 public:
  virtual ~TableObserver() = default;

  // The table was read as a whole and has exactly these rows.
  virtual void OnSnapshot(const std::vector<TableRow>& rows) = 0;
  // These rows changed, in order of their versions.
  virtual void OnChanges(const std::vector<TableRow>& rows) = 0;
  // All changes up to the given response of the store have been delivered.
  virtual void OnConfirmed(const StoreResponseInfo& /*info*/) {}
  // All changes up to this reading of the steady clock of the store have been
  // delivered, according to a peer.
  virtual void OnConfirmedByPeer(Millis /*store_time*/) {}
  // The store came back from an older copy, and the table was read anew there.
  // `store_time` is the steady clock of the store at that read. Comes before
  // the snapshot, which may be older than what was delivered until now: rows
  // that were written since the copy are missing until their owners write them
  // again.
  virtual void OnStoreRestored(Millis /*store_time*/) {}
  // The store responds again after failed calls. Comes before the rows of that
  // response.
  virtual void OnStoreRecovered(const StoreResponseInfo& /*info*/) {}
};

// Replicates one table of the store.
//
// A few instances watch the store by long polls. The others compare the status
// in gossip messages with their replica and fetch missing changes from peers
// that have them. If the store has dropped the history that is needed, or has
// come back from a copy, the whole table is read again; failed calls are
// repeated from the last position. So no change is skipped. What the store or a
// peer says of an earlier era proves nothing. Used from the thread of the
// io_context.
class TableFollower {
 public:
  struct Options {
    std::string table;
    // Pause between two calls while watching, so that changes are batched.
    Millis pause{0};
  };
  // Fetches the changes after a position from a peer; `done` gets an empty
  // value on failure.
  using PeerFetch =
      std::function<void(const TablePosition& after,
                         std::function<void(std::optional<PeerRows>)> done)>;

  TableFollower(asio::io_context& context,
                AsyncTableStore& store,
                Options options,
                TableObserver& observer);

  // `callback` is called after each delivery of rows to the observer.
  void SetChangeCallback(std::function<void()> callback) {
    on_change_ = std::move(callback);
  }
  // Reads the whole table from the store; repeats this until it succeeds.
  void Start();
  // Stops all calls; neither the observer nor the callback is called any more.
  void Stop();
  // Long-polls the store for changes until StopWatching(). The store may hold
  // each call for `wait` if there are none.
  void Watch(Millis wait);
  // Stops watching once the call in progress has ended; changes then come from
  // peers.
  void StopWatching() { watch_wait_.reset(); }
  // Polls `store` for changes once, without waiting. It must not be the store
  // object given to the constructor, whose calls may be long polls. Does
  // nothing before the table is loaded or while such a poll is in progress.
  void PollOnce(AsyncTableStore& store);
  // Handles the status in a message of a peer. Calls `fetch` if the peer has
  // changes that are missing here.
  void OnPeerStatus(const ReplicaStatus& status, const PeerFetch& fetch);

  const std::string& table() const { return options_.table; }
  bool is_loaded() const { return replica_.is_loaded(); }
  ReplicaStatus status() const;
  // The era of the store from which the rows are.
  StoreEra era() const { return replica_.position().era; }
  // Response to a peer that has all changes up to `position`: the changes since
  // then, or the whole table if some of them are no longer available or the
  // position is of another era.
  PeerRows RowsSince(const TablePosition& position) const;
  // Whether the last call to the store failed. Failed polls count only while
  // the follower is not watching.
  bool store_failed() const { return failures_ > 0; }

 private:
  void ReadTable();
  void ReadChanges();
  void OnTableRead(const RowsResponse& response);
  // Handles the changes after `from`, which was sent with the call. Returns
  // false if they are of another era than that position or the replica, so that
  // changes may be missing.
  bool Apply(const RowsResponse& response, const TablePosition& from);
  // Reads the whole table by `store` on behalf of a poll.
  void ReadTableOnce(AsyncTableStore& store);
  // Replaces all rows. `store_time` is that of the read.
  void Replace(const std::vector<TableRow>& rows,
               const TablePosition& position,
               Millis store_time);
  void ApplyPeerRows(const PeerRows& response);
  void Confirm(const StoreResponseInfo& info);
  void NotifySnapshot(const std::vector<TableRow>& rows);
  void NotifyChanges(const std::vector<TableRow>& rows);
  void LogHistoryLost() const;
  void LogRestored(const TablePosition& position) const;
  void LogReadDropped(const StoreResponseInfo& info) const;
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
  // A call of the initial read or of the watch, or the pause before one, is in
  // progress.
  bool watch_call_pending_ = false;
  int failures_ = 0;
  bool stopped_ = false;
  bool poll_pending_ = false;
  bool peer_fetch_pending_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_TABLE_FOLLOWER_H_
