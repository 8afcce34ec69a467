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

// Time for an owner to acknowledge a request, and how often it is asked.
inline constexpr Millis kAcceptTimeout{75};
inline constexpr int kMaxRequestSends = 2;

struct OwnedCellStatus {
  CellId cell;
  int waiting = 0;
  int running = 0;
};

// Gets slots from the owners of cells, and gives them out for the cells that
// this router owns. An owner that does not acknowledge a request is replaced,
// for that request, by the local budget. Thread-safe.
//
// Callbacks run on the thread that learned of the answer. They may call the
// functions of SlotBroker, but must not wait for another thread that does:
// Cancel waits for a callback that has begun on another thread.
class DistributedSlotBroker : public SlotBroker {
 public:
  DistributedSlotBroker(InstanceId self,
                        Incarnation incarnation,
                        PeerTransport& transport,
                        const ServiceConfig& config,
                        SteadyClock clock);

  void Configure(const ServiceConfig& config);
  // To be called with each new roster, in order.
  void UpdateRoster(const std::vector<RosterMember>& members);
  // Takes the slot messages that PeerNode hands on.
  void HandleMessage(const InstanceId& sender, const PeerMessage& message);
  // Runs timers; to be called from one thread, about every 25 ms.
  void Tick();

  void Request(const PoolId& pool,
               const SlotRequest& request,
               Callback done) override;
  void Cancel(const RequestId& request) override;
  void Release(const RequestId& request, const SlotOutcome& outcome) override;
  void ReportProgress(const RequestId& request, Tokens generated) override;

  void MarkLeaving(const BackendId& backend);
  // Has an effect if this router owns the backend server's cell.
  void ObserveLoad(const BackendId& backend, const LoadReport& report);
  // Backend servers of owned cells: those whose load this router polls.
  std::vector<BackendId> OwnedBackends() const;
  std::vector<OwnedCellStatus> OwnedCells() const;
  // Requests of this router that wait or run.
  std::size_t open_requests() const;
  // Requests that went to the local budget since the start.
  std::uint64_t local_budget_uses() const { return local_budget_uses_; }

 private:
  static constexpr std::size_t kShardCount = 16;

  // Roster and configuration as of one moment. Immutable.
  struct View {
    CellMap cells;
    std::vector<RosterMember> members;
    std::map<CellId, CellOwner> owners;

    std::optional<CellOwner> OwnerOf(const CellId& cell) const;
  };
  using ViewPointer = std::shared_ptr<const View>;

  enum class Phase {
    // Sent to the owner, not yet acknowledged.
    kSent,
    // Queued by the owner.
    kQueued,
    // In the queue of the local budget.
    kWaitingLocally,
    kRunning,
    // Running within the local budget.
    kRunningLocally,
  };

  struct RequestEntry {
    PoolId pool;
    CellId cell;
    SlotRequest request;
    Callback done;
    SlotAttempt attempt;
    Phase phase = Phase::kSent;
    // Who was asked or has granted.
    CellOwner owner;
    int sends = 0;
    // When to ask again.
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

  // A callback that is about to run or runs.
  struct CallbackState {
    std::thread::id thread;
    bool started = false;
    bool cancelled = false;
  };

  // This router's own requests, by hash of their ids.
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<RequestId, RequestEntry> entries;
    std::unordered_map<RequestId, std::shared_ptr<CallbackState>>
        callback_states;
    std::condition_variable callback_finished;
  };

  struct LockedCell {
    template <typename... Args>
    explicit LockedCell(Args&&... args) : cell(std::forward<Args>(args)...) {}
    std::mutex mutex;
    OwnedCell cell;
  };

  struct PendingReport {
    CellOwner owner;
    SteadyTime deadline;
    // False if there is something to report since the last one was sent.
    bool sent = false;
  };

  struct PendingCallback {
    Shard* shard = nullptr;
    RequestId request;
    std::shared_ptr<CallbackState> state;
    Callback done;
    Result<Slot> result;
  };

  // What to do after the locks are released.
  struct DeferredActions {
    OutgoingMessages messages;
    std::vector<PendingCallback> callbacks;
    struct LocalRequest {
      PoolId pool;
      SlotRequest request;
      SlotAttempt attempt;
    };
    std::vector<LocalRequest> local_requests;
    // Waiting requests whose pool has no backend server any more.
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

  // Begins a new attempt at the owner of the entry's cell.
  void StartAttempt(RequestEntry& entry,
                    const View& view,
                    SteadyTime now,
                    DeferredActions& actions);
  void SendRequest(RequestEntry& entry,
                   SteadyTime now,
                   DeferredActions& actions);
  void LogLocalBudgetUse(const CellId& cell);
  // Called when the deadline of an entry has passed.
  void HandleEntryTimeout(RequestEntry& entry,
                          const View& view,
                          SteadyTime now,
                          DeferredActions& actions);
  void HandleNotOwner(RequestEntry& entry,
                      const View& view,
                      DeferredActions& actions);
  void HandleRefusal(Shard& shard,
                     RequestEntry& entry,
                     const SlotRefusalMessage& message,
                     const View& view,
                     DeferredActions& actions);
  void UseLocalBudget(RequestEntry& entry, DeferredActions& actions);
  void OnLocalResult(const RequestId& request,
                     SlotAttempt attempt,
                     const Result<Slot>& result);
  // Marks the entry as running and prepares its callback. The shard's lock is
  // held.
  void Grant(Shard& shard,
             RequestEntry& entry,
             Phase phase,
             const BackendId& backend,
             DeferredActions& actions);
  void Refuse(Shard& shard,
              const RequestId& request,
              const Error& error,
              DeferredActions& actions);
  // Prepares the callback of `request`. The shard's lock is held.
  static void AddCallback(Shard& shard,
                          const RequestId& request,
                          Callback done,
                          Result<Slot> result,
                          DeferredActions& actions);
  // Sends and calls what was collected; no lock is held.
  void PerformActions(DeferredActions actions);
  void RunCallback(PendingCallback callback);
  void RefuseWithoutBackend(const RequestId& request);
  void Send(const OutgoingMessages& messages);
  void EndRequest(const RequestEntry& entry, const SlotOutcome& outcome);

  // Puts `next` in force after filling in its owners.
  void InstallView(const std::shared_ptr<View>& next);
  void UpdateOwnedCells(const View& after, SteadyTime now);
  void ApplyViewToEntries(const View& after, SteadyTime now);
  void ApplyViewToEntry(RequestEntry& entry,
                        const View& after,
                        SteadyTime now,
                        DeferredActions& actions);
  void ReportToNewOwners(const View& before, const View& after, SteadyTime now);
  void QueueReport(const CellId& cell, const CellOwner& owner, SteadyTime now);
  void SendDueReports(SteadyTime now);
  CellReportMessage MakeReport(const CellId& cell, const CellOwner& owner);
  std::shared_ptr<LockedCell> FindOwnedCell(const CellId& cell) const;
  // Runs `action` on an owned cell and sends what it returns; returns false if
  // this router does not own the cell.
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

  // Held while a new view is put in force, so that views follow in order.
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
