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
constexpr seconds kStartTime{100};
// Maximum simulated time for which a commit is delayed.
constexpr seconds kMaxCommitDelay{60};

// Thrown to unwind the stack of a controller that the guard has ended.
struct ProcessKilled {};

UsageWindowSettings MakeWindowSettings() {
  UsageWindowSettings settings;
  settings.length = seconds(10);
  settings.close_delay = seconds(3);
  // Longer than any write stays unresolved in a test case. Thus no write is
  // ambiguous, and all recorded usage must be reported.
  settings.row_retention_windows = 10000;
  return settings;
}

ControllerSettings MakeControllerSettings(const std::string& instance) {
  ControllerSettings settings;
  settings.instance = InstanceId(instance);
  settings.usage.windows = MakeWindowSettings();
  settings.usage.max_reports_per_step = 2;
  settings.plan_interval = seconds(5);
  // Keeps every order in the journal for the comparison with the platform.
  settings.journal.retained_orders = 100000;
  return settings;
}

Error LostResponse() {
  return Error{ErrorCode::kStoreUnavailable, RunVerdict::kMayHaveRun, "lost",
               std::nullopt};
}

}  // namespace

// A simulated process whose calls can be paused.
class Pausable {
 public:
  virtual ~Pausable() = default;
  // Called at every point where the process may be paused.
  virtual void PausePoint() = 0;
};

class SimulatedStore : public TableStore {
 private:
  template <typename Function>
  auto Call(Function function) {
    caller_.PausePoint();
    switch (fleet_.choices_.Draw(40)) {
      case 1:
        fleet_.store_.SetFaults({.lost_commit_responses = 1});
        break;
      case 2:
        fleet_.store_.SetFaults({.lost_commits = 1});
        break;
      case 3:
        fleet_.store_.SetFaults({.delayed_commits = 1});
        fleet_.commits_delayed_since_ = fleet_.now_;
        break;
      case 4:
        fleet_.store_.SetFaults({.outage = true});
        break;
      case 5:
        fleet_.store_.DeliverDelayedCommits();
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

  Result<StoreResponse<CommitOutcome>> CommitWithEra(
      const Transaction& transaction,
      Millis timeout) override {
    return Call(
        [&] { return fleet_.store_.CommitWithEra(transaction, timeout); });
  }
  Result<StoreResponse<std::optional<Row>>> ReadWithEra(
      const std::string& key,
      Millis timeout) override {
    return Call([&] { return fleet_.store_.ReadWithEra(key, timeout); });
  }
  Result<StoreResponse<std::vector<Row>>> ScanWithEra(const std::string& prefix,
                                                      Millis timeout) override {
    return Call([&] { return fleet_.store_.ScanWithEra(prefix, timeout); });
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
    return Call([&] { fleet_.ReceiveOrder(order, caller_); });
  }
  Result<void> Submit(const UsageReport& report, Millis) override {
    return Call([&] { fleet_.ReceiveReport(report, caller_); });
  }
  Result<std::optional<BackendOrder>> Find(const std::string& order_id,
                                           Millis) override {
    caller_.PausePoint();
    const auto found = fleet_.received_orders_.find(order_id);
    if (found == fleet_.received_orders_.end())
      return std::optional<BackendOrder>();
    return std::optional<BackendOrder>(found->second);
  }

 private:
  template <typename Receive>
  Result<void> Call(Receive receive) {
    caller_.PausePoint();
    const int fault = fleet_.choices_.Draw(8);
    if (fault == 1) {
      return Error{ErrorCode::kStoreUnavailable, RunVerdict::kNotRun, "refused",
                   std::nullopt};
    }
    if (fault != 2)
      receive();
    caller_.PausePoint();
    if (fault == 2 || fault == 3)
      return LostResponse();
    return Success();
  }

  SimulatedFleet& fleet_;
  Pausable& caller_;
};

class SimulatedController : public Pausable,
                            public LeaseGuard,
                            public CapacityStrategy {
 public:
  SimulatedController(SimulatedFleet& fleet, int number)
      : fleet_(fleet),
        store_(fleet, *this),
        platform_(fleet, *this),
        name_("c" + std::to_string(number)) {
    Start();
  }

  // The guard is armed exactly while the controller counts the lease as held.
  bool BelievesItHoldsLease() const {
    return deadline_ && fleet_.now_ < *deadline_;
  }

  void Step() {
    if (running_)
      return;
    running_ = true;
    try {
      controller_->Step();
    } catch (const ProcessKilled&) {
      Start();
    }
    running_ = false;
  }

  void PausePoint() override {
    if (!running_)
      return;
    if (this == fleet_.controllers_.front().get())
      fleet_.PauseIfPlanned();
    fleet_.PauseAtRandom();
    if (deadline_ && fleet_.now_ >= *deadline_)
      throw ProcessKilled();
  }
  void Arm(nanoseconds deadline) override { deadline_ = deadline; }
  void Disarm() override { deadline_.reset(); }
  std::vector<BackendOrder> Plan(const CapacityContext&) override {
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
        ControllerDependencies{store_, platform_, platform_, *this, *this},
        MakeControllerSettings(name_), boot, wall);
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
                  MakeWindowSettings(),
                  [&fleet, number] {
                    // Simulates clock skew between instances.
                    return std::chrono::system_clock::time_point(
                        fleet.now_ + seconds(number));
                  }) {}

  void PausePoint() override { fleet_.PauseAtRandom(); }

  void Record(int customer) {
    const UsageTotals used{1, Tokens(customer + 1), Tokens(10)};
    const CustomerId id("k" + std::to_string(customer));
    recorder_.Record(id, used);
    fleet_.recorded_usage_[id] += used;
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

SimulatedFleet::SimulatedFleet(std::vector<std::uint8_t> choices,
                               int controllers,
                               int routers,
                               bool restores)
    : choices_(std::move(choices)), restores_(restores), now_(kStartTime) {
  for (int i = 0; i < controllers; ++i)
    controllers_.push_back(std::make_unique<SimulatedController>(*this, i));
  for (int i = 0; i < routers; ++i)
    routers_.push_back(std::make_unique<Router>(*this, i));
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::Run() {
  while (!choices_.exhausted()) {
    now_ += seconds(1);
    RunRandomStep();
  }
  store_.DeliverDelayedCommits();
  // A step seals at most one window. The additional steps are for a change of
  // holder and for usage that is moved to a later window.
  const auto backlog = now_ / MakeWindowSettings().length;
  constexpr int kDrainSteps = 120;
  for (int i = 0; i < backlog + kDrainSteps; ++i) {
    now_ += seconds(1);
    for (const auto& router : routers_)
      router->Flush();
    for (const auto& controller : controllers_)
      controller->Step();
  }
  if (!restores_)
    CheckJournalMatchesPlatform();
}

int SimulatedFleet::RunWithPauses(std::map<int, seconds> plan) {
  pause_plan_ = std::move(plan);
  constexpr int kStepsWithPauses = 8;
  constexpr int kStepsAfterPauses = 20;
  for (int i = 0; i < kStepsWithPauses + kStepsAfterPauses; ++i) {
    for (const auto& controller : controllers_)
      controller->Step();
    now_ += seconds(1);
    if (i == kStepsWithPauses)
      pause_plan_.clear();
  }
  CheckJournalMatchesPlatform();
  return pause_point_count_;
}

void SimulatedFleet::PauseIfPlanned() {
  const auto planned = pause_plan_.find(++pause_point_count_);
  if (planned == pause_plan_.end())
    return;
  for (seconds left = planned->second; left > seconds(0); left -= seconds(1)) {
    now_ += seconds(1);
    for (const auto& controller : controllers_)
      controller->Step();
  }
}

CustomerUsage SimulatedFleet::ReportedUsage() const {
  CustomerUsage sum;
  for (const auto& [key, totals] : received_reports_)
    sum[key.second] += totals;
  return sum;
}

void SimulatedFleet::SaveOrRestoreAtRandom() {
  const int choice = choices_.Draw(30);
  if (choice == 1)
    store_.SaveCopy();
  else if (choice == 2)
    store_.RestoreCopy();
}

void SimulatedFleet::RunRandomStep() {
  if (restores_)
    SaveOrRestoreAtRandom();
  if (now_ - commits_delayed_since_ > kMaxCommitDelay)
    store_.DeliverDelayedCommits();
  const int choice = choices_.Draw(8);
  if (choice >= 6 && !routers_.empty()) {
    routers_[static_cast<std::size_t>(
                 choices_.Draw(static_cast<int>(routers_.size())))]
        ->Record(choices_.Draw(3));
  }
  for (const auto& router : routers_) {
    if (choices_.Draw(4) == 1)
      router->Flush();
  }
  for (const auto& controller : controllers_) {
    if (choices_.Draw(4) != 1)
      controller->Step();
  }
}

void SimulatedFleet::PauseAtRandom() {
  // Nested pauses are limited to two levels and are rare, because a long chain
  // of them would exhaust the choices.
  constexpr std::array<int, 2> kPauseOddsAtDepth{200, 100};
  if (pause_depth_ >= kPauseOddsAtDepth.size())
    return;
  if (choices_.Draw(kPauseOddsAtDepth[pause_depth_]) != 1)
    return;
  ++pause_depth_;
  // In a long pause the other controllers read the lease row twice, with more
  // time between the reads than lease duration and margin together, so that one
  // of them acquires the lease.
  const int kind = choices_.Draw(4);
  const bool is_long = kind >= 2;
  for (int round = 0; round < (is_long ? 2 : 1); ++round) {
    now_ += is_long ? seconds(8) : seconds(1 + 2 * kind);
    for (const auto& controller : controllers_)
      controller->Step();
  }
  --pause_depth_;
}

void SimulatedFleet::CheckToken(FencingToken token,
                                const Pausable& sender,
                                const std::string& message) {
  if (token < highest_token_)
    violations_.insert("an earlier holder sent " + message);
  highest_token_ = std::max(highest_token_, token);
  if (token_senders_.emplace(token, &sender).first->second != &sender)
    violations_.insert("two controllers used one fencing token");
}

void SimulatedFleet::ReceiveOrder(const BackendOrder& order,
                                  const Pausable& sender) {
  // An order id starts with the token of the lease under which the order was
  // recorded.
  if (order.fencing_token != FencingToken(std::stoull(order.order_id)))
    violations_.insert(
        "the fencing token of an order differs from that of its holder");
  CheckToken(order.fencing_token, sender, "an order");
  int believed_holders = 0;
  for (const auto& controller : controllers_)
    believed_holders += controller->BelievesItHoldsLease() ? 1 : 0;
  if (believed_holders > 1)
    violations_.insert("two controllers hold the lease at the same time");
  if (!received_orders_.emplace(order.order_id, order).second)
    violations_.insert("an order was sent twice");
  if (!restores_)
    CheckOrderIsRecorded(order);
}

void SimulatedFleet::CheckOrderIsRecorded(const BackendOrder& order) {
  bool recorded = false;
  for (const JournalEntry& entry : JournalEntries()) {
    recorded = recorded || entry.order.order_id == order.order_id;
    if (entry.order.order_id != order.order_id &&
        entry.state == OrderState::kRecorded &&
        received_orders_.contains(entry.order.order_id)) {
      violations_.insert(
          "an order was sent before an earlier one was resolved");
    }
  }
  if (!recorded)
    violations_.insert("an order was sent before it was recorded");
}

void SimulatedFleet::CheckJournalMatchesPlatform() {
  for (const JournalEntry& entry : JournalEntries()) {
    const bool arrived = received_orders_.contains(entry.order.order_id);
    if (arrived != (entry.state == OrderState::kAccepted))
      violations_.insert("the journal differs from the orders of the platform");
  }
}

std::vector<JournalEntry> SimulatedFleet::JournalEntries() {
  std::vector<JournalEntry> entries;
  const auto rows = store_.Scan("order/", kTimeout);
  for (const Row& row : rows.value())
    entries.push_back(JournalEntry::Parse(row.value).value());
  return entries;
}

void SimulatedFleet::ReceiveReport(const UsageReport& report,
                                   const Pausable& sender) {
  if (report.fencing_token == FencingToken(0))
    violations_.insert("a report has no fencing token");
  CheckToken(report.fencing_token, sender, "a report");
  const UsageTotals totals{report.requests, report.prompt_tokens,
                           report.output_tokens};
  const auto [known, added] = received_reports_.emplace(
      std::pair(report.window, report.customer), totals);
  if (!added && known->second != totals)
    violations_.insert("a window was reported with different totals");
}

}  // namespace bamboomount
