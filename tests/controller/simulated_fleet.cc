#include "controller/simulated_fleet.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace bamboomount {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr Millis kTimeout{1000};
constexpr seconds kStart{100};
// No commit stays on its way for longer.
constexpr seconds kPacketLifetime{60};

// Ends the frames of a controller that the kernel has killed.
struct Killed {};

UsageWindowSettings Windows() {
  UsageWindowSettings settings;
  settings.length = seconds(10);
  settings.close_delay = seconds(3);
  // Longer than a case leaves a write unresolved, so that no write is ambiguous
  // and every count must be reported.
  settings.row_retention_windows = 10000;
  return settings;
}

ControllerSettings Settings(const std::string& instance) {
  ControllerSettings settings;
  settings.instance = InstanceId(instance);
  settings.usage.windows = Windows();
  settings.usage.max_reports_per_step = 2;
  settings.plan_interval = seconds(5);
  // Every order stays in the journal, so that it can be compared.
  settings.journal.kept_orders = 100000;
  return settings;
}

Error LostAnswer() {
  return Error{ErrorCode::kStoreUnavailable, RunVerdict::kMayHaveRun, "lost",
               std::nullopt};
}

}  // namespace

// What the fleet needs to know about whoever makes a call.
class Pausable {
 public:
  virtual ~Pausable() = default;
  // Called at every point where the caller may be paused.
  virtual void PausePoint() = 0;
};

class SimulatedStore : public TableStore {
 private:
  template <typename Function>
  auto Call(Function function) {
    caller_.PausePoint();
    switch (fleet_.tape_.Draw(40)) {
      case 1:
        fleet_.store_.SetFaults({.lost_commit_answers = 1});
        break;
      case 2:
        fleet_.store_.SetFaults({.lost_commits = 1});
        break;
      case 3:
        fleet_.store_.SetFaults({.held_commits = 1});
        fleet_.held_since_ = fleet_.now_;
        break;
      case 4:
        fleet_.store_.SetFaults({.outage = true});
        break;
      case 5:
        fleet_.store_.ReleaseHeldCommits();
        [[fallthrough]];
      default:
        fleet_.store_.SetFaults({});
    }
    auto result = function();
    fleet_.store_.SetFaults({});
    caller_.PausePoint();
    return result;
  }

 public:
  SimulatedStore(SimulatedFleet& fleet, Pausable& caller)
      : fleet_(fleet), caller_(caller) {}

  Result<CommitOutcome> Commit(const Transaction& transaction,
                               Millis timeout) override {
    return Call([&] { return fleet_.store_.Commit(transaction, timeout); });
  }
  Result<std::optional<Row>> Read(const std::string& key,
                                  Millis timeout) override {
    return Call([&] { return fleet_.store_.Read(key, timeout); });
  }
  Result<std::vector<Row>> Scan(const std::string& prefix,
                                Millis timeout) override {
    return Call([&] { return fleet_.store_.Scan(prefix, timeout); });
  }

 private:
  SimulatedFleet& fleet_;
  Pausable& caller_;
};

class SimulatedPlatform : public BackendOrders, public UsageReports {
 public:
  SimulatedPlatform(SimulatedFleet& fleet, Pausable& caller)
      : fleet_(fleet), caller_(caller) {}

  Result<void> Submit(const BackendOrder& order, Millis) override {
    return Call([&] { fleet_.ReceiveOrder(order); });
  }
  Result<void> Submit(const UsageReport& report, Millis) override {
    return Call([&] { fleet_.ReceiveReport(report); });
  }
  Result<std::optional<BackendOrder>> Find(const std::string& order_id,
                                           Millis) override {
    caller_.PausePoint();
    const auto found = fleet_.order_ids_.find(order_id);
    if (found == fleet_.order_ids_.end())
      return std::optional<BackendOrder>();
    return std::optional<BackendOrder>(found->second);
  }

 private:
  template <typename Receive>
  Result<void> Call(Receive receive) {
    caller_.PausePoint();
    const int fault = fleet_.tape_.Draw(8);
    if (fault == 1) {
      return Error{ErrorCode::kStoreUnavailable, RunVerdict::kNotRun, "refused",
                   std::nullopt};
    }
    if (fault != 2)
      receive();
    caller_.PausePoint();
    if (fault == 2 || fault == 3)
      return LostAnswer();
    return Success();
  }

  SimulatedFleet& fleet_;
  Pausable& caller_;
};

class SimulatedController : public Pausable,
                            public LeaseGuard,
                            public SpendingStrategy {
 public:
  SimulatedController(SimulatedFleet& fleet, int number)
      : fleet_(fleet),
        store_(fleet, *this),
        platform_(fleet, *this),
        name_("c" + std::to_string(number)) {
    Start();
  }

  // Its guard is armed exactly while it counts the lease as held.
  bool BelievesInCharge() const {
    return deadline_ && fleet_.now_ < *deadline_;
  }

  void Step() {
    if (running_)
      return;
    running_ = true;
    try {
      controller_->Step();
    } catch (const Killed&) {
      Start();
    }
    running_ = false;
  }

  void PausePoint() override {
    if (!running_)
      return;
    if (this == fleet_.controllers_.front().get())
      fleet_.PauseAsPlanned();
    fleet_.MaybePause();
    if (deadline_ && fleet_.now_ >= *deadline_)
      throw Killed();
  }
  void Arm(nanoseconds deadline) override { deadline_ = deadline; }
  void Disarm() override { deadline_.reset(); }
  std::vector<BackendOrder> Plan(const SpendingContext&) override {
    return std::vector<BackendOrder>(
        2,
        {{}, ZoneId("z"), PoolId("p"), BackendKind::kFirm, 1, FencingToken(0)});
  }

 private:
  void Start() {
    deadline_.reset();
    const auto boot = [this] {
      const auto now = fleet_.now_;
      PausePoint();
      return now;
    };
    const auto wall = [this] {
      return std::chrono::system_clock::time_point(fleet_.now_);
    };
    controller_ = std::make_unique<Controller>(
        ControllerParts{store_, platform_, platform_, *this, *this},
        Settings(name_), boot, wall);
  }

  SimulatedFleet& fleet_;
  SimulatedStore store_;
  SimulatedPlatform platform_;
  const std::string name_;
  std::optional<nanoseconds> deadline_;
  std::unique_ptr<Controller> controller_;
  bool running_ = false;
};

class SimulatedFleet::Router : public Pausable {
 public:
  Router(SimulatedFleet& fleet, int number)
      : fleet_(fleet),
        store_(fleet, *this),
        recorder_(store_,
                  InstanceId("r" + std::to_string(number)),
                  Windows(),
                  [&fleet, number] {
                    // Clocks of instances differ.
                    return std::chrono::system_clock::time_point(
                        fleet.now_ + seconds(number));
                  }) {}

  void PausePoint() override { fleet_.MaybePause(); }

  void Record(int customer) {
    const UsageFigures used{1, Tokens(customer + 1), Tokens(10)};
    const CustomerId id("k" + std::to_string(customer));
    recorder_.Record(id, used);
    fleet_.counted_[id] += used;
  }
  void Flush() {
    if (std::exchange(flushing_, true))
      return;
    (void)recorder_.Flush(kTimeout);
    flushing_ = false;
  }

 private:
  SimulatedFleet& fleet_;
  SimulatedStore store_;
  UsageRecorder recorder_;
  bool flushing_ = false;
};

SimulatedFleet::SimulatedFleet(std::vector<std::uint8_t> tape,
                               int controllers,
                               int routers)
    : tape_(std::move(tape)), now_(kStart) {
  for (int i = 0; i < controllers; ++i)
    controllers_.push_back(std::make_unique<SimulatedController>(*this, i));
  for (int i = 0; i < routers; ++i)
    routers_.push_back(std::make_unique<Router>(*this, i));
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::Run() {
  while (!tape_.used_up()) {
    now_ += seconds(1);
    Act();
  }
  store_.ReleaseHeldCommits();
  // A step seals one window; the rest is for a change of holder and for usage
  // that moves to a later window.
  const auto backlog = now_ / Windows().length;
  constexpr int kQuietSteps = 120;
  for (int i = 0; i < backlog + kQuietSteps; ++i) {
    now_ += seconds(1);
    for (const auto& router : routers_)
      router->Flush();
    for (const auto& controller : controllers_)
      controller->Step();
  }
  CompareJournal();
}

int SimulatedFleet::RunWithPauses(std::map<int, seconds> plan) {
  pause_plan_ = std::move(plan);
  constexpr int kSteps = 8;
  constexpr int kStepsAfter = 20;
  for (int i = 0; i < kSteps + kStepsAfter; ++i) {
    for (const auto& controller : controllers_)
      controller->Step();
    now_ += seconds(1);
    if (i == kSteps)
      pause_plan_.clear();
  }
  CompareJournal();
  return points_;
}

void SimulatedFleet::PauseAsPlanned() {
  const auto planned = pause_plan_.find(++points_);
  if (planned == pause_plan_.end())
    return;
  for (seconds left = planned->second; left > seconds(0); left -= seconds(1)) {
    now_ += seconds(1);
    for (const auto& controller : controllers_)
      controller->Step();
  }
}

CustomerUsage SimulatedFleet::Reported() const {
  CustomerUsage sum;
  for (const auto& [key, figures] : reports_)
    sum[key.second] += figures;
  return sum;
}

void SimulatedFleet::Act() {
  if (now_ - held_since_ > kPacketLifetime)
    store_.ReleaseHeldCommits();
  const int choice = tape_.Draw(8);
  if (choice >= 6 && !routers_.empty()) {
    routers_[static_cast<std::size_t>(
                 tape_.Draw(static_cast<int>(routers_.size())))]
        ->Record(tape_.Draw(3));
  }
  for (const auto& router : routers_) {
    if (tape_.Draw(4) == 1)
      router->Flush();
  }
  for (const auto& controller : controllers_) {
    if (tape_.Draw(4) != 1)
      controller->Step();
  }
}

void SimulatedFleet::MaybePause() {
  // A pause inside a pause is rare, and none is deeper: otherwise one chain of
  // pauses would use up the tape.
  constexpr std::array<int, 2> kOddsAtDepth{200, 100};
  if (depth_ >= kOddsAtDepth.size())
    return;
  if (tape_.Draw(kOddsAtDepth[depth_]) != 1)
    return;
  ++depth_;
  // The others see the lease row before and after a time longer than the lease
  // and the margin together, so that one of them takes it during a long pause.
  const int kind = tape_.Draw(4);
  const bool is_long = kind >= 2;
  for (int round = 0; round < (is_long ? 2 : 1); ++round) {
    now_ += is_long ? seconds(8) : seconds(1 + 2 * kind);
    for (const auto& controller : controllers_)
      controller->Step();
  }
  --depth_;
}

void SimulatedFleet::ReceiveOrder(const BackendOrder& order) {
  // The id starts with the token of the lease under which it was recorded.
  if (order.fencing_token != FencingToken(std::stoull(order.order_id)))
    violations_.insert("an order without its holder's token");
  if (order.fencing_token < newest_token_)
    violations_.insert("an order from an earlier holder");
  newest_token_ = std::max(newest_token_, order.fencing_token);
  int in_charge = 0;
  for (const auto& controller : controllers_)
    in_charge += controller->BelievesInCharge() ? 1 : 0;
  if (in_charge > 1)
    violations_.insert("two controllers in charge");
  if (!order_ids_.emplace(order.order_id, order).second)
    violations_.insert("an order sent twice");
  bool recorded = false;
  for (const JournalEntry& entry : Journal()) {
    recorded = recorded || entry.order.order_id == order.order_id;
    if (entry.order.order_id != order.order_id &&
        entry.state == OrderState::kRecorded &&
        order_ids_.contains(entry.order.order_id)) {
      violations_.insert("an order sent before an earlier one was resolved");
    }
  }
  if (!recorded)
    violations_.insert("an order sent before it was recorded");
}

void SimulatedFleet::CompareJournal() {
  for (const JournalEntry& entry : Journal()) {
    const bool arrived = order_ids_.contains(entry.order.order_id);
    if (arrived != (entry.state == OrderState::kAccepted))
      violations_.insert("a journal that differs from the platform");
  }
}

std::vector<JournalEntry> SimulatedFleet::Journal() {
  std::vector<JournalEntry> entries;
  const auto rows = store_.Scan("order/", kTimeout);
  for (const Row& row : rows.value())
    entries.push_back(JournalEntry::Parse(row.value).value());
  return entries;
}

void SimulatedFleet::ReceiveReport(const UsageReport& report) {
  if (report.fencing_token == FencingToken(0))
    violations_.insert("a report without a token");
  if (report.fencing_token < newest_token_)
    violations_.insert("a report from an earlier holder");
  newest_token_ = std::max(newest_token_, report.fencing_token);
  const UsageFigures figures{report.requests, report.prompt_tokens,
                             report.output_tokens};
  const auto [known, added] =
      reports_.emplace(std::pair(report.window, report.customer), figures);
  if (!added && known->second != figures)
    violations_.insert("a window reported with different figures");
}

}  // namespace bamboomount
