#include "check/replication_world.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace bamboomount::check {
namespace {

constexpr char kTable[] = "t";
constexpr char kKey[] = "k";
// Bounds the number of situations.
constexpr std::size_t kMaxWorks = 3;
constexpr std::size_t kMaxChanges = 4;

std::string Text(const std::vector<TableRow>& rows) {
  std::string text;
  for (const TableRow& row : rows)
    text += (row.deleted ? "-" : "+") + std::to_string(row.version.value());
  return text;
}

std::string Text(const TablePosition& position) {
  return std::to_string(position.era.value()) + ":" +
         std::to_string(position.version.value());
}

std::string Text(const ReplicaStatus& status) {
  return std::to_string(status.revision.value()) + "/" + Text(status.position) +
         "/" + std::to_string(status.confirmed.count()) + "/" +
         std::to_string(status.digest);
}

std::string SentAt(Instant sent) {
  return " sent " + std::to_string(ToMillis(sent.time_since_epoch()).count());
}

std::string Text(const StoreResponseInfo& info) {
  return "position " + Text(info.table_position()) + " at " +
         std::to_string(info.store_time.count()) + SentAt(info.sent);
}

}  // namespace

// A connection of an instance to the store.
class ReplicationWorld::Connection : public AsyncTableStore {
 public:
  Connection(ReplicationWorld& world, std::string name)
      : world_(world), name_(std::move(name)) {}

  void ReadTable(const std::string& /*table*/,
                 Callback<RowsResponse> done) override {
    const Instant sent = world_.now_;
    world_.Send(
        "the store reads the table for " + name_ + SentAt(sent),
        [this, done, sent] {
          Respond("the table", done,
                  {world_.Rows(RowVersion(), false), world_.StoreInfo(sent)});
        },
        false);
  }
  void ReadChanges(const std::string& /*table*/,
                   RowVersion position,
                   Millis /*wait*/,
                   Callback<RowsResponse> done) override {
    const Instant sent = world_.now_;
    world_.Send(
        "the store reads changes after " + std::to_string(position.value()) +
            " for " + name_ + SentAt(sent),
        [this, done, sent, position] {
          if (position < world_.present().start ||
              position > world_.present().position)
            world_.Send(
                name_ + " gets: history lost",
                [done] {
                  done(Error{ErrorCode::kHistoryLost, RunVerdict::kNotRun, "",
                             std::nullopt});
                },
                false);
          else
            Respond("changes", done,
                    {world_.Rows(position, true), world_.StoreInfo(sent)});
        },
        false);
  }
  void Commit(const StoreTransaction& /*transaction*/,
              Callback<CommitResponse> /*done*/) override {}

 private:
  void Respond(const std::string& what,
               const Callback<RowsResponse>& done,
               const RowsResponse& response) {
    world_.Send(
        name_ + " gets " + what + " " + Text(response.rows) + ", " +
            Text(response.info),
        [done, response] { done(response); }, false);
  }

  ReplicationWorld& world_;
  const std::string name_;
};

struct ReplicationWorld::Instance : public TableObserver {
  Instance(ReplicationWorld& owner, const std::string& instance_name)
      : world(owner),
        name(instance_name),
        connection(owner, instance_name),
        follower(owner.context_, connection, {kTable, Millis(0)}, *this) {}

  void OnSnapshot(const std::vector<TableRow>& rows) override {
    version = 0;
    OnChanges(rows);
  }
  void OnChanges(const std::vector<TableRow>& rows) override {
    for (const TableRow& row : rows)
      version = row.deleted ? 0 : row.version.value();
  }
  void OnConfirmed(const StoreResponseInfo& info) override {
    freshness.Confirm(info.sent, info.store_time);
  }
  void OnConfirmedByPeer(Millis store_time) override {
    freshness.ConfirmByPeer(store_time, world.now_);
  }

  ReplicationWorld& world;
  const std::string name;
  // Version of the row that the instance uses; 0 if it uses none.
  std::uint64_t version = 0;
  // The position at the last check.
  TablePosition position;
  StateFreshness freshness;
  Connection connection;
  TableFollower follower;
};

ReplicationWorld::ReplicationWorld(const Options& options) : options_(options) {
  Write(true);
  for (std::size_t i = 0; i < options.instances; ++i) {
    instances_.push_back(std::make_unique<Instance>(
        *this, std::string(1, static_cast<char>('a' + i))));
    instances_.back()->follower.Start();
    while (!works_.empty())
      Deliver(0, false);
  }
  if (options.history_is_lost) {
    present().position += RowVersion(1);
    present().start = present().position;
  }
}

ReplicationWorld::~ReplicationWorld() {
  for (const auto& instance : instances_)
    instance->follower.Stop();
}

std::vector<ReplicationWorld::Step> ReplicationWorld::PossibleSteps() {
  std::vector<Step> steps{{"time passes", [this] { now_ += kTick; }}};
  AddStoreSteps(steps);
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    Instance& instance = *instances_[i];
    AddCall(steps, instance.name + " polls the store",
            [&instance] { instance.follower.PollOnce(instance.connection); });
    for (std::size_t j = 0; j < instances_.size(); ++j) {
      if (j != i)
        AddCall(steps,
                instance.name + " sends its status to " + instances_[j]->name,
                [this, i, j] { SendStatus(i, j); });
    }
  }
  for (std::size_t i = 0; i < works_.size(); ++i) {
    const std::string& name = works_[i].name;
    steps.push_back({name, [this, i] { Deliver(i, false); }});
    if (!works_[i].is_message)
      continue;
    steps.push_back({"lost: " + name, [this, i] {
                       works_.erase(works_.begin() +
                                    static_cast<std::ptrdiff_t>(i));
                     }});
    if (works_.size() < kMaxWorks)
      steps.push_back(
          {"to come again: " + name, [this, i] { Deliver(i, true); }});
  }
  return steps;
}

void ReplicationWorld::AddStoreSteps(std::vector<Step>& steps) {
  const History& history = present();
  const bool removed =
      history.changes.empty() || history.changes.back().removed;
  if (history.changes.size() < kMaxChanges)
    steps.push_back({removed ? "the row is written" : "the row is removed",
                     [this, removed] { Write(!removed); }});
  if (history.position.value() < 2 * kMaxChanges)
    steps.push_back({"another table changes",
                     [this] { present().position += RowVersion(1); }});
  if (history.start < history.position)
    steps.push_back({"the store drops its history",
                     [this] { present().start = present().position; }});
  if (copies_taken_ < options_.copies)
    steps.push_back({"the store takes a copy", [this] {
                       copy_ = present();
                       ++copies_taken_;
                     }});
  if (copy_ && eras_.size() <= options_.restores)
    steps.push_back(
        {"the store comes back from the copy", [this] { RestoreCopy(); }});
}

void ReplicationWorld::RestoreCopy() {
  present().end = now_;
  eras_.push_back(*copy_);
  present().first_new = present().changes.size();
}

void ReplicationWorld::AddCall(std::vector<Step>& steps,
                               const std::string& name,
                               const std::function<void()>& begin) {
  steps.push_back({name + ", at once", [this, begin] {
                     const std::size_t before = works_.size();
                     begin();
                     while (works_.size() > before)
                       Deliver(before, false);
                   }});
  if (options_.has_delays && works_.size() < kMaxWorks)
    steps.push_back({name, begin});
}

std::vector<std::string> ReplicationWorld::Steps() const {
  std::vector<std::string> names;
  // The steps are only named here.
  for (const Step& step : const_cast<ReplicationWorld*>(this)->PossibleSteps())
    names.push_back(step.name);
  return names;
}

void ReplicationWorld::Take(std::size_t step) {
  PossibleSteps().at(step).take();
  RunTimers();
  Check();
}

void ReplicationWorld::Write(bool removed) {
  present().position += RowVersion(1);
  present().changes.push_back({present().position, removed, now_});
}

void ReplicationWorld::Send(std::string name,
                            std::function<void()> deliver,
                            bool is_message) {
  works_.push_back({std::move(name), std::move(deliver), is_message});
}

void ReplicationWorld::SendStatus(std::size_t from, std::size_t to) {
  Instance& sender = *instances_[from];
  Instance& receiver = *instances_[to];
  const ReplicaStatus status = sender.follower.status();
  const auto fetch = [this, &sender, &receiver](const TablePosition& after,
                                                auto done) {
    Send(
        sender.name + " is asked for rows after " + Text(after),
        [this, &sender, &receiver, after, done] {
          const PeerRows rows = sender.follower.RowsSince(after);
          Send(
              receiver.name + " gets from " + sender.name +
                  (rows.is_snapshot ? " all rows " : " changes ") +
                  Text(rows.rows) + ", " + Text(rows.status),
              [done, rows] { done(rows); }, false);
        },
        false);
  };
  Send(
      receiver.name + " hears " + Text(status),
      [&receiver, status, fetch] {
        receiver.follower.OnPeerStatus(status, fetch);
      },
      true);
}

void ReplicationWorld::Deliver(std::size_t index, bool keep) {
  const auto work = works_.begin() + static_cast<std::ptrdiff_t>(index);
  const auto deliver = work->deliver;
  if (!keep)
    works_.erase(work);
  deliver();
  RunTimers();
}

// Pauses of the follower are 0 here; no call fails.
void ReplicationWorld::RunTimers() {
  context_.restart();
  context_.poll();
}

StoreResponseInfo ReplicationWorld::StoreInfo(Instant sent) const {
  return {sent, ToMillis(now_.time_since_epoch()), present().position,
          StoreEra(eras_.size() - 1)};
}

std::vector<TableRow> ReplicationWorld::Rows(RowVersion after,
                                             bool with_removals) const {
  if (present().changes.empty())
    return {};
  const Change& last = present().changes.back();
  if (last.version <= after || (last.removed && !with_removals))
    return {};
  return {{kTable, kKey, "", last.version, last.removed}};
}

std::uint64_t ReplicationWorld::VersionAt(const TablePosition& position) const {
  std::uint64_t version = 0;
  for (const Change& change : eras_[position.era.value()].changes) {
    if (change.version <= position.version)
      version = change.removed ? 0 : change.version.value();
  }
  return version;
}

std::string ReplicationWorld::CheckInstance(Instance& instance) const {
  const ReplicaStatus status = instance.follower.status();
  if (status.position < instance.position)
    return "the position of an instance went back";
  instance.position = status.position;
  if (instance.version != VersionAt(status.position))
    return "an instance has other rows than the store at its position";
  const std::size_t era = status.position.era.value();
  const auto& end = eras_[era].end;
  if (end && ToMillis(end->time_since_epoch()) < status.confirmed)
    return "the rows are confirmed for a time after the store came back";
  for (std::size_t i = era; i < eras_.size(); ++i) {
    std::string violation = CheckChanges(instance, i);
    if (!violation.empty())
      return violation;
  }
  return "";
}

std::string ReplicationWorld::CheckChanges(const Instance& instance,
                                           std::size_t era) const {
  const ReplicaStatus status = instance.follower.status();
  const bool later_era = era > status.position.era.value();
  const std::vector<Change>& changes = eras_[era].changes;
  for (std::size_t i = later_era ? eras_[era].first_new : 0; i < changes.size();
       ++i) {
    const Change& change = changes[i];
    const bool missing = later_era || status.position.version < change.version;
    if (missing && ToMillis(change.at.time_since_epoch()) < status.confirmed)
      return "a change is missing that came before the confirmed time";
    const bool replaced =
        later_era || change.version.value() > instance.version;
    if (instance.version != 0 && replaced && now_ - change.at > kBound &&
        instance.freshness.IsConfirmedWithin(kBound, now_))
      return "a row is used too long after its removal";
  }
  return "";
}

void ReplicationWorld::Check() {
  for (const auto& instance : instances_) {
    if (violation_.empty())
      violation_ = CheckInstance(*instance);
  }
}

std::string ReplicationWorld::State() const {
  std::ostringstream text;
  text << ToMillis(now_.time_since_epoch()).count() << " " << copies_taken_;
  std::vector<History> histories = eras_;
  if (copy_)
    histories.push_back(*copy_);
  for (const History& history : histories) {
    text << " " << history.position.value() << " " << history.start.value()
         << " " << history.first_new;
    if (history.end)
      text << " until " << ToMillis(history.end->time_since_epoch()).count();
    for (const Change& change : history.changes)
      text << " " << change.version.value()
           << ToMillis(change.at.time_since_epoch()).count();
  }
  for (const auto& instance : instances_) {
    text << "|" << instance->version << " "
         << Text(instance->follower.status());
    const StoreEra era = instance->follower.era();
    for (RowVersion after; after <= eras_[era.value()].position;
         after += RowVersion(1))
      text << instance->follower.RowsSince({era, after}).is_snapshot;
    text << " " << instance->freshness.Age(now_).value_or(Millis(-1)).count();
    if (const auto local = instance->freshness.LocalTime(Millis(0)))
      text << " " << local->time_since_epoch().count();
  }
  std::vector<std::string> names;
  for (const Work& work : works_)
    names.push_back(work.name);
  std::sort(names.begin(), names.end());
  for (const std::string& name : names)
    text << "|" << name;
  return text.str();
}

std::string ReplicationWorld::Violation() const {
  return violation_;
}

}  // namespace bamboomount::check
