#include "policy/cell_driver.h"

#include <algorithm>
#include <stdexcept>

namespace bamboomount {
namespace {

constexpr int kBackends = 4;
constexpr int kTiers = 3;

BackendId BackendOf(int index) {
  return BackendId("b" + std::to_string(index % kBackends));
}

void Require(bool condition, const std::string& violation) {
  if (!condition)
    throw std::logic_error(violation);
}

std::vector<CellBackend> ToBackends(const std::map<BackendId, int>& slots) {
  std::vector<CellBackend> backends;
  backends.reserve(slots.size());
  for (const auto& [id, count] : slots)
    backends.push_back({id, ZoneId("z"), false, count});
  return backends;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const CellEvent& event) {
  return out << "{" << static_cast<int>(event.kind) << "," << event.a << ","
             << event.b << "}";
}

CellDriver::CellDriver(const CellOptions& options, int shed_floor_per_class)
    : cell_(options), shed_floor_per_class_(shed_floor_per_class) {
  for (int i = 0; i < kBackends; ++i)
    slots_[BackendOf(i)] = 1 + i % 2;
  cell_.SetBackends(ToBackends(slots_), now_);
}

void CellDriver::Apply(const CellEvent& event) {
  const BackendId backend = BackendOf(event.a);
  switch (event.kind) {
    case CellEvent::Kind::kEnqueue:
      Enqueue(event.a, event.b);
      break;
    case CellEvent::Kind::kCancel:
      if (!waiting_.empty()) {
        const auto found =
            std::next(waiting_.begin(),
                      static_cast<std::ptrdiff_t>(event.a % waiting_.size()));
        cell_.Cancel(found->first, now_);
        waiting_.erase(found);
      }
      break;
    case CellEvent::Kind::kFinish:
      Finish(event.a, SlotEnd::kCompleted);
      break;
    case CellEvent::Kind::kFail:
      Finish(event.a, event.b % 2 == 0 ? SlotEnd::kConnectFailed
                                       : SlotEnd::kBackendFailed);
      break;
    case CellEvent::Kind::kProgress:
      if (!running_.empty()) {
        const RequestId id = NthRunning(event.a);
        cell_.ObserveProgress(id, Tokens(event.b), now_);
        MarkAlive(running_.at(id));
      }
      break;
    case CellEvent::Kind::kLoad:
      cell_.ObserveLoad(backend, {event.b % 8, 0, 100, false, Millis(2000)},
                        now_);
      break;
    case CellEvent::Kind::kLeave:
      if (event.b % 4 == 0 && slots_.contains(backend)) {
        cell_.MarkLeaving(backend, now_);
        leaving_.insert(backend);
      }
      break;
    case CellEvent::Kind::kAdopt: {
      SlotRequest request;
      request.request = RequestId("adopted" + std::to_string(next_request_++));
      cell_.Adopt(request, backend, now_);
      running_.emplace(request.request, backend);
      break;
    }
    case CellEvent::Kind::kToggleBackend:
      if (slots_.erase(backend) == 0)
        slots_[backend] = 1 + event.b % 3;
      leaving_.erase(backend);
      MarkAlive(backend);
      cell_.SetBackends(ToBackends(slots_), now_);
      break;
    case CellEvent::Kind::kAdvance:
      now_ += Millis(event.a % 400);
      break;
  }
}

void CellDriver::Enqueue(int a, int b) {
  SlotRequest request;
  request.request = RequestId("r" + std::to_string(next_request_++));
  request.tier = Tier(a % kTiers);
  request.class_id = ClassId("class" + std::to_string(a % (kTiers + 2)));
  request.tier = Tier((a % (kTiers + 2)) % kTiers);
  request.customer = CustomerId("c" + std::to_string(b % 3));
  request.share = 1 + b % 3;
  request.queue_limit = 4;
  request.first_token_target = Millis(400 * (1 + request.tier.value()));
  request.prompt_tokens = Tokens(10 + b % 500);
  request.prefix_hash = static_cast<std::uint64_t>(b) % 5;
  if (b % 7 == 0)
    request.excluded.push_back(BackendOf(b));
  cell_.Enqueue(request, now_);
  waiting_.emplace(request.request, request);
}

void CellDriver::Finish(int index, SlotEnd end) {
  if (running_.empty())
    return;
  const RequestId id = NthRunning(index);
  const BackendId backend = running_.at(id);
  const bool failed = end != SlotEnd::kCompleted;
  const auto granted = granted_at_.find(id);
  if (failed && slots_.contains(backend)) {
    Failure& failure = failed_.emplace(backend, Failure{now_}).first->second;
    failure.must_be_counted |=
        granted != granted_at_.end() && granted->second > last_alive_[backend];
  }
  cell_.Finish(id, {end, Tokens(100), Millis(50), Millis(50)}, now_);
  if (!failed)
    MarkAlive(backend);
  running_.erase(id);
  granted_at_.erase(id);
}

void CellDriver::MarkAlive(const BackendId& backend) {
  failed_.erase(backend);
  last_alive_[backend] = now_;
}

void CellDriver::Decide() {
  shed_requests_.clear();
  for (const SlotDecision& decision : cell_.Decide(now_))
    CheckDecision(decision);
  for (const SlotRequest& shed : shed_requests_)
    CheckShed(shed);
  CheckCounts();
}

void CellDriver::CheckShed(const SlotRequest& shed) const {
  std::map<std::pair<Tier, ClassId>, int> lower;
  for (const auto& [id, request] : waiting_) {
    if (request.tier > shed.tier)
      ++lower[{request.tier, request.class_id}];
  }
  for (const auto& [key, count] : lower) {
    Require(count <= shed_floor_per_class_,
            "a higher tier is shed while a lower tier waits");
  }
}

void CellDriver::CheckDecision(const SlotDecision& decision) {
  Require(!running_.contains(decision.request), "a granted one is decided on");
  const auto found = waiting_.find(decision.request);
  Require(found != waiting_.end(), "a decision for a request not waiting");
  const SlotRequest request = found->second;
  waiting_.erase(found);
  if (decision.backend) {
    CheckGrant(request, *decision.backend);
    return;
  }
  ++shed_count_;
  Require(decision.retry_after.count() > 0, "a refusal without retry_after");
  if (decision.reason != ErrorCode::kNoBackend)
    shed_requests_.push_back(request);
}

void CellDriver::CheckGrant(const SlotRequest& request,
                            const BackendId& backend) {
  Require(slots_.contains(backend), "grant on an unknown backend server");
  Require(!leaving_.contains(backend), "grant on a leaving backend server");
  Require(std::find(request.excluded.begin(), request.excluded.end(),
                    backend) == request.excluded.end(),
          "grant on an excluded backend server");
  const auto busy =
      std::count_if(running_.begin(), running_.end(),
                    [&](const auto& run) { return run.second == backend; });
  Require(busy < slots_.at(backend), "grant on a full backend server");
  const auto failed = failed_.find(backend);
  Require(failed == failed_.end() || !failed->second.must_be_counted ||
              now_ - failed->second.first >= Millis(1000),
          "grant on a backend server that has just failed");
  // It may be a probe; the next failure counts from now.
  failed_.erase(backend);
  running_.emplace(request.request, backend);
  granted_at_.emplace(request.request, now_);
}

void CellDriver::CheckCounts() const {
  Require(cell_.waiting() == static_cast<int>(waiting_.size()),
          "waiting count");
  Require(cell_.running() == static_cast<int>(running_.size()),
          "running count");
  std::map<BackendId, int> busy;
  for (const auto& [request, backend] : running_)
    ++busy[backend];
  for (const BackendState& state : cell_.BackendStates()) {
    Require(state.running == busy[state.backend.backend], "slot count");
    busy.erase(state.backend.backend);
  }
  for (const auto& [backend, count] : busy)
    Require(count == 0, "slot count of an unknown backend server");
}

RequestId CellDriver::NthRunning(int index) const {
  return std::next(running_.begin(),
                   static_cast<std::ptrdiff_t>(index % running_.size()))
      ->first;
}

bool CellDriver::Drain() {
  for (int round = 0; round < 500 && !waiting_.empty(); ++round) {
    while (!running_.empty())
      Finish(0, SlotEnd::kCompleted);
    now_ += Millis(100);
    Decide();
  }
  return waiting_.empty();
}

void CellDriver::WarmUp() {
  for (int i = 0; i < 40; ++i) {
    Enqueue(i, 1 + i % 6);
    Decide();
    now_ += Millis(150);
    Finish(0, SlotEnd::kCompleted);
  }
  Decide();
}

}  // namespace bamboomount
