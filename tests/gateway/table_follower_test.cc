#include "gateway/replication/table_follower.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "gateway/versioned_table.h"

namespace bamboomount {
namespace {

constexpr Millis kWatchWait{1000};

// Work that is outstanding anywhere in the simulated fleet: calls on their way
// to the store, responses and messages on their way to an instance. It is
// delivered in any order, so that an instance may sleep for as long as the
// others go on.
class PendingWork {
 public:
  using Task = std::function<void()>;

  void Add(Task task) { tasks_.push_back(std::move(task)); }
  // Runs one task; `choice` selects which.
  void RunOne(std::size_t choice) {
    if (tasks_.empty())
      return;
    const auto chosen =
        tasks_.begin() + static_cast<std::ptrdiff_t>(choice % tasks_.size());
    const Task task = std::move(*chosen);
    tasks_.erase(chosen);
    task();
  }

 private:
  std::deque<Task> tasks_;
};

// The store. Its clock advances by 1 ms with each version and each restore.
class SimulatedStore {
 public:
  const VersionedTable& table() const { return table_; }
  StoreResponseInfo Info() const {
    const TablePosition position = table_.position();
    return {Instant(), now_, position.version, position.era};
  }
  // Whether the store can tell what has changed after the version.
  bool HasHistorySince(RowVersion version) const {
    return version >= history_start_ && version <= table_.position().version;
  }

  void Write(const std::string& key, bool removed) {
    table_.Write(key, removed);
    RecordVersion();
  }
  void AdvanceVersion() {
    table_.AdvanceVersion();
    RecordVersion();
  }
  void DiscardHistory() { history_start_ = table_.position().version; }
  void TakeCopy() { table_.TakeCopy(); }
  void RestoreCopy() {
    now_ += Millis(1);
    era_ended_.push_back(now_);
    table_.RestoreCopy();
    history_start_ = RowVersion();
  }

  // Whether no change after `position` came up to the time `confirmed`.
  bool IsComplete(const TablePosition& position, Millis confirmed) const {
    const std::size_t era = position.era.value();
    if (era < era_ended_.size() && confirmed > era_ended_[era])
      return false;
    const auto next = given_out_.upper_bound(position);
    return next == given_out_.end() || next->first.era != position.era ||
           next->second > confirmed;
  }

 private:
  void RecordVersion() {
    now_ += Millis(1);
    given_out_[table_.position()] = now_;
  }

  VersionedTable table_;
  RowVersion history_start_;
  Millis now_{0};
  // When each version was given out.
  std::map<TablePosition, Millis> given_out_;
  // When each era but the present one ended.
  std::vector<Millis> era_ended_;
};

// One connection of an instance to the store.
class SimulatedConnection : public AsyncTableStore {
 public:
  SimulatedConnection(SimulatedStore& store, PendingWork& work)
      : store_(store), work_(work) {}

  void ReadTable(const std::string& /*table*/,
                 Callback<RowsResponse> done) override {
    work_.Add([this, done] {
      Respond(done, RowsResponse{store_.table().Rows(), store_.Info()});
    });
  }
  void ReadChanges(const std::string& /*table*/,
                   RowVersion position,
                   Millis /*wait*/,
                   Callback<RowsResponse> done) override {
    work_.Add([this, position, done] {
      if (!store_.HasHistorySince(position))
        Respond(done, Error{ErrorCode::kHistoryLost, RunVerdict::kNotRun, "",
                            std::nullopt});
      else
        Respond(done,
                RowsResponse{store_.table().Changes(position), store_.Info()});
    });
  }
  void Commit(const StoreTransaction& /*transaction*/,
              Callback<CommitResponse> /*done*/) override {}

 private:
  void Respond(const Callback<RowsResponse>& done,
               const Result<RowsResponse>& response) {
    work_.Add([done, response] { done(response); });
  }

  SimulatedStore& store_;
  PendingWork& work_;
};

// An instance's copy of the table, as its observer sees it.
class ContentObserver : public TableObserver {
 public:
  void OnSnapshot(const std::vector<TableRow>& rows) override {
    content.clear();
    OnChanges(rows);
  }
  void OnChanges(const std::vector<TableRow>& rows) override {
    for (const TableRow& row : rows) {
      if (row.deleted)
        content.erase(row.key);
      else
        content[row.key] = row.version.value();
    }
  }

  TableContent content;
};

struct SimulatedInstance {
  SimulatedInstance(asio::io_context& context,
                    SimulatedStore& store,
                    PendingWork& work)
      : connection(store, work),
        second_connection(store, work),
        follower(context, connection, {"t", Millis(0)}, observer) {
    follower.Start();
  }

  SimulatedConnection connection;
  SimulatedConnection second_connection;
  ContentObserver observer;
  TableFollower follower;
};

enum class Action {
  kWrite,
  kRemove,
  kAdvanceVersion,
  kDiscardHistory,
  kTakeCopy,
  kRestoreCopy,
  kPoll,
  kWatch,
  kStopWatching,
  // An instance sends its status to another one.
  kSendStatus,
  // Outstanding work goes on.
  kRunOne,
};

struct Step {
  Action action = Action::kRunOne;
  std::size_t instance = 0;
  std::size_t other = 0;
};

class SimulatedFleet {
 public:
  static constexpr std::size_t kInstances = 4;
  static constexpr std::size_t kKeys = 2;

  SimulatedFleet() {
    for (std::size_t i = 0; i < kInstances; ++i)
      instances_.push_back(
          std::make_unique<SimulatedInstance>(context_, store_, work_));
  }

  void Run(const Step& step) {
    TableFollower& follower = instances_[step.instance]->follower;
    const std::string key = "k" + std::to_string(step.other % kKeys);
    switch (step.action) {
      case Action::kWrite:
        store_.Write(key, false);
        break;
      case Action::kRemove:
        store_.Write(key, true);
        break;
      case Action::kAdvanceVersion:
        store_.AdvanceVersion();
        break;
      case Action::kDiscardHistory:
        store_.DiscardHistory();
        break;
      case Action::kTakeCopy:
        store_.TakeCopy();
        break;
      case Action::kRestoreCopy:
        store_.RestoreCopy();
        break;
      case Action::kPoll:
        follower.PollOnce(instances_[step.instance]->second_connection);
        break;
      case Action::kWatch:
        follower.Watch(kWatchWait);
        break;
      case Action::kStopWatching:
        follower.StopWatching();
        break;
      case Action::kSendStatus:
        SendStatus(step.instance, step.other);
        break;
      case Action::kRunOne:
        work_.RunOne(step.other * kInstances + step.instance);
    }
    context_.restart();
    context_.poll();
  }

  // Whether each instance has exactly the rows at its position, and has reached
  // the position of the store's time that it holds as confirmed.
  bool IsConsistent() const {
    for (const auto& instance : instances_) {
      const ReplicaStatus status = instance->follower.status();
      if (instance->follower.is_loaded() &&
          (instance->observer.content !=
               store_.table().ContentAt(status.position) ||
           !store_.IsComplete(status.position, status.confirmed)))
        return false;
    }
    return true;
  }

 private:
  void SendStatus(std::size_t from, std::size_t to) {
    if (!instances_[from]->follower.is_loaded())
      return;
    work_.Add([this, from, to, status = instances_[from]->follower.status()] {
      instances_[to]->follower.OnPeerStatus(
          status, [this, from](const TablePosition& after, auto done) {
            work_.Add([this, from, after, done] {
              const PeerRows rows = instances_[from]->follower.RowsSince(after);
              work_.Add([done, rows] { done(rows); });
            });
          });
    });
  }

  asio::io_context context_;
  SimulatedStore store_;
  PendingWork work_;
  std::vector<std::unique_ptr<SimulatedInstance>> instances_;
};

rc::Gen<Step> AnyStep() {
  // Statuses and deliveries are frequent; the store changes now and then.
  const auto action = rc::gen::weightedElement<Action>({
      {4, Action::kWrite},
      {4, Action::kRemove},
      {1, Action::kAdvanceVersion},
      {1, Action::kDiscardHistory},
      {1, Action::kTakeCopy},
      {1, Action::kRestoreCopy},
      {3, Action::kPoll},
      {1, Action::kWatch},
      {1, Action::kStopWatching},
      {12, Action::kSendStatus},
      {24, Action::kRunOne},
  });
  const auto index =
      rc::gen::inRange<std::size_t>(0, SimulatedFleet::kInstances);
  return rc::gen::map(
      rc::gen::tuple(action, index, index), [](const auto& parts) {
        return Step{std::get<0>(parts), std::get<1>(parts), std::get<2>(parts)};
      });
}

BOOST_AUTO_TEST_SUITE(table_follower)

// Guards against an instance that takes a peer's position, digest or revision
// for proof that it has changes which it lacks: it went on using a server whose
// row had been removed. The instances sleep, wake and hear each other and the
// store in any order. The store drops its history and comes back from copies.
RC_BOOST_PROP(rows_match_the_store_at_the_position_of_each_instance, ()) {
  constexpr std::size_t kSteps = 1000;
  // Shrinking so many steps would exceed the time limit of the test.
  const auto steps = *rc::gen::noShrink(
      rc::gen::container<std::vector<Step>>(kSteps, AnyStep()));
  SimulatedFleet fleet;
  for (const Step& step : steps) {
    fleet.Run(step);
    RC_ASSERT(fleet.IsConsistent());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
