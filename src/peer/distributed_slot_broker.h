#ifndef PEER_DISTRIBUTED_SLOT_BROKER_H_
#define PEER_DISTRIBUTED_SLOT_BROKER_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "peer/cell_map.h"
#include "peer/cell_owners.h"
#include "peer/local_slot_broker.h"
#include "peer/owned_cell.h"
#include "peer/peer_node.h"
#include "peer/peer_transport.h"
#include "peer/slot_broker.h"

namespace bamboomount {

// Time within which an owner must acknowledge a slot request, and number of
// times that a request is sent before the local budget is used.
inline constexpr Millis kAcceptTimeout{75};
inline constexpr int kMaxRequestSends = 2;

// Number of waiting and running requests of a cell that this router owns.
struct OwnedCellStatus {
  CellId cell;
  int waiting = 0;
  int running = 0;
};

// Requests slots from the owners of cells, and grants slots of the cells that
// this router owns. If an owner does not acknowledge a request, that request
// uses the local budget instead, which is this router's share of the slots.
// Thread-safe.
//
// Callbacks run on the thread that received the result. They may call the
// functions of SlotBroker, but must not wait for another thread that does:
// Cancel waits for a callback that has started on another thread.
class DistributedSlotBroker : public SlotBroker {
 public:
  DistributedSlotBroker(InstanceId self,
                        Incarnation incarnation,
                        PeerTransport& transport,
                        const ServiceConfig& config,
                        SteadyClock clock);

  // Applies a new configuration. Requests in cells that change are moved to the
  // new cells and owners.
  void Configure(const ServiceConfig& config);
  // Applies a new roster. Call for each roster, in order.
  void UpdateRoster(const std::vector<RosterMember>& members);
  // Handles a slot message from PeerNode; ignores other messages.
  void HandleMessage(const InstanceId& sender, const PeerMessage& message);
  // Runs the timers. Call from one thread, about every 25 ms.
  void Tick();

  void Request(const PoolId& pool,
               const SlotRequest& request,
               Callback done) override;
  void Cancel(const RequestId& request) override;
  void Release(const RequestId& request, const SlotOutcome& outcome) override;
  void ReportProgress(const RequestId& request, Tokens generated) override;

  // Grants no more slots on `backend`.
  void MarkLeaving(const BackendId& backend);
  // Passes a load report to the scheduler of the cell. Ignored unless this
  // router owns the cell of the backend server.
  void ObserveLoad(const BackendId& backend, const LoadReport& report);
  // Backend servers of the owned cells. This router polls their load.
  std::vector<BackendId> OwnedBackends() const;
  std::vector<OwnedCellStatus> OwnedCells() const;
  // Number of requests of this router that wait or run.
  std::size_t open_requests() const;
  // Number of requests that used the local budget since construction.
  std::uint64_t local_budget_uses() const { return local_budget_uses_; }

 private:
  static constexpr std::size_t kShardCount = 16;

  // The roster, the cells and their owners at one moment. Immutable once
  // installed.
  struct View {
    CellMap cells;
    std::vector<RosterMember> members;
    std::map<CellId, CellOwner> owners;

    std::optional<CellOwner> OwnerOf(const CellId& cell) const;
  };
  using ViewPointer = std::shared_ptr<const View>;

  enum class Phase {
    // Sent to the owner and not yet acknowledged.
    kSent,
    // Acknowledged and queued by the owner.
    kQueued,
    // Queued by the local budget.
    kWaitingLocally,
    kRunning,
    // Running on a slot of the local budget.
    kRunningLocally,
  };

  // State of a request of this router that waits or runs.
  struct RequestEntry {
    PoolId pool;
    CellId cell;
    SlotRequest request;
    Callback done;
    SlotAttempt attempt;
    Phase phase = Phase::kSent;
    // Owner to which the current attempt was sent.
    CellOwner owner;
    int sends = 0;
    // When the request is sent again, or given to the local budget, unless the
    // owner responds before.
    SteadyTime deadline{};
    BackendId backend;
    Tokens generated;
    bool progress_due = false;
    std::vector<CellId> refused_cells;

    bool waits_for_owner() const {
      return phase == Phase::kSent || phase == Phase::kQueued;
    }
    bool uses_local_budget() const {
      return phase == Phase::kWaitingLocally || phase == Phase::kRunningLocally;
    }
    bool is_running() const {
      return phase == Phase::kRunning || phase == Phase::kRunningLocally;
    }
  };

  // State of a callback that is about to run or running.
  struct CallbackState {
    std::thread::id thread;
    bool started = false;
    bool cancelled = false;
  };

  // Part of the requests of this router, selected by a hash of the request id.
  // `mutex` guards the other members.
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<RequestId, RequestEntry> entries;
    std::unordered_map<RequestId, std::shared_ptr<CallbackState>>
        callback_states;
    std::condition_variable callback_finished;
  };

  // An owned cell with the mutex that guards it.
  struct LockedCell {
    template <typename... Args>
    explicit LockedCell(Args&&... args) : cell(std::forward<Args>(args)...) {}
    std::mutex mutex;
    OwnedCell cell;
  };

  // A cell report that its new owner has not acknowledged yet.
  struct PendingReport {
    CellOwner owner;
    SteadyTime deadline;
    // Whether the report was sent since it last became due. An acknowledgment
    // is ignored otherwise, because it is for an earlier report.
    bool sent = false;
  };

  // A callback with its result, to run after the locks are released.
  struct PendingCallback {
    Shard* shard = nullptr;
    RequestId request;
    std::shared_ptr<CallbackState> state;
    Callback done;
    Result<Slot> result;
  };

  // Work that is collected under a lock and done after it is released.
  struct DeferredActions {
    OutgoingMessages messages;
    std::vector<PendingCallback> callbacks;
    struct LocalRequest {
      PoolId pool;
      SlotRequest request;
      SlotAttempt attempt;
    };
    std::vector<LocalRequest> local_requests;
    // Waiting requests whose pool no longer has a backend server.
    std::vector<RequestId> without_backend;
  };

  Shard& ShardOf(const RequestId& request);
  ViewPointer view() const;
  SlotAttempt NextAttempt();

  void Handle(const InstanceId& from, const SlotRequestMessage& message);
  void Handle(const InstanceId& from, const SlotCancelMessage& message);
  void Handle(const InstanceId& from, const SlotReleaseMessage& message);
  void Handle(const InstanceId& from, const SlotProgressMessage& message);
  void Handle(const InstanceId& from, const CellReportMessage& message);
  void Handle(const InstanceId& from, const SlotAcceptedMessage& message);
  void Handle(const InstanceId& from, const SlotGrantMessage& message);
  void Handle(const InstanceId& from, const SlotRefusalMessage& message);
  void Handle(const InstanceId& from, const CellReportAcceptedMessage& message);
  void Handle(const InstanceId& from, const CellReportRequestMessage& message);

  // Starts a new attempt with the owner of the entry's cell. Chooses another
  // cell if that one no longer exists, and uses the local budget if the cell
  // has no owner.
  void StartAttempt(RequestEntry& entry,
                    const View& view,
                    SteadyTime now,
                    DeferredActions& actions);
  void SendRequest(RequestEntry& entry,
                   SteadyTime now,
                   DeferredActions& actions);
  void LogLocalBudgetUse(const CellId& cell);
  // Handles an entry whose deadline has passed: sends the request again, or
  // uses the local budget after kMaxRequestSends unacknowledged sends.
  void HandleEntryTimeout(RequestEntry& entry,
                          const View& view,
                          SteadyTime now,
                          DeferredActions& actions);
  // Handles a refusal by a router that does not own the entry's cell.
  void HandleNotOwner(RequestEntry& entry,
                      const View& view,
                      DeferredActions& actions);
  // Handles a refusal by the owner: tries one other cell if the cell is
  // overloaded, and otherwise fails the request.
  void HandleRefusal(Shard& shard,
                     RequestEntry& entry,
                     const SlotRefusalMessage& message,
                     const View& view,
                     DeferredActions& actions);
  void UseLocalBudget(RequestEntry& entry, DeferredActions& actions);
  void OnLocalResult(const RequestId& request,
                     SlotAttempt attempt,
                     const Result<Slot>& result);
  // Marks the entry as running and adds its callback to `actions`. The shard's
  // lock is held.
  void Grant(Shard& shard,
             RequestEntry& entry,
             Phase phase,
             const BackendId& backend,
             DeferredActions& actions);
  // Removes the request and adds its callback, with `error`, to `actions`. The
  // shard's lock is held.
  void Refuse(Shard& shard,
              const RequestId& request,
              const Error& error,
              DeferredActions& actions);
  // Adds the callback of `request` to `actions`. The shard's lock is held.
  static void AddCallback(Shard& shard,
                          const RequestId& request,
                          Callback done,
                          Result<Slot> result,
                          DeferredActions& actions);
  // Runs the callbacks and sends the messages that were collected. No lock is
  // held.
  void PerformActions(DeferredActions actions);
  void RunCallback(PendingCallback callback);
  void RefuseWithoutBackend(const RequestId& request);
  void Send(const OutgoingMessages& messages);
  // Releases or cancels the request of a removed entry.
  void EndRequest(const RequestEntry& entry, const SlotOutcome& outcome);

  // Computes the owners of `next` and makes it the current view.
  // view_install_mutex_ is held.
  void InstallView(const std::shared_ptr<View>& next);
  void UpdateOwnedCells(const View& after, SteadyTime now);
  void ApplyViewToEntries(const View& after, SteadyTime now);
  // Starts a new attempt for a waiting request whose cell or owner has changed,
  // and queues a report for a running one whose cell has changed.
  void ApplyViewToEntry(RequestEntry& entry,
                        const View& after,
                        SteadyTime now,
                        DeferredActions& actions);
  void ReportToNewOwners(const View& before, const View& after, SteadyTime now);
  void QueueReport(const CellId& cell, const CellOwner& owner, SteadyTime now);
  void SendDueReports(SteadyTime now);
  CellReportMessage MakeReport(const CellId& cell, const CellOwner& owner);
  std::shared_ptr<LockedCell> FindOwnedCell(const CellId& cell) const;
  // Runs `action` on an owned cell under its lock and sends the messages that
  // it returns. Returns false if this router does not own the cell.
  template <typename Action>
  bool WithOwnedCell(const CellId& cell, Action action);
  std::vector<std::shared_ptr<LockedCell>> AllOwnedCells() const;
  void HandleEntryTimeouts(SteadyTime now);
  void TickOwnedCells(SteadyTime now);
  void SendProgress(SteadyTime now);

  const InstanceId self_;
  const Incarnation incarnation_;
  PeerTransport& transport_;
  const SteadyClock clock_;
  LocalSlotBroker local_;

  // Held while a view is installed, so that views take effect in order. Guards
  // config_ and leaving_backends_.
  std::mutex view_install_mutex_;
  mutable std::mutex view_mutex_;
  ViewPointer view_;
  std::shared_ptr<const ServiceConfig> config_;
  std::set<BackendId> leaving_backends_;

  std::array<Shard, kShardCount> shards_;
  mutable std::shared_mutex owned_cells_mutex_;
  std::map<CellId, std::shared_ptr<LockedCell>> owned_cells_;
  std::mutex reports_mutex_;
  std::map<CellId, PendingReport> reports_;

  std::atomic<std::uint64_t> last_attempt_{0};
  std::atomic<std::uint64_t> local_budget_uses_{0};
  std::mutex log_mutex_;
  SteadyTime local_budget_logged_at_{};
  SteadyTime progress_sent_at_{};
};

}  // namespace bamboomount

#endif  // PEER_DISTRIBUTED_SLOT_BROKER_H_
