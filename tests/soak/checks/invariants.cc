#include "soak/checks/invariants.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace bamboomount::soak {
namespace {

constexpr int kOk = 200;
// Requests that last longer than this may end without a complete reply, because
// they are close to their deadline of 3000 ms.
constexpr Millis kNearDeadline{2500};
// At most this many requests of a soak may run on more backend servers than
// their route allows.
constexpr std::size_t kMaxRequestsOverAttemptLimit = 3;

// Statuses by which an instance states that the request did not run.
std::set<int> NotExecutedStatuses() {
  return {408, 421, 429, 503};
}

// Checks the observations of one soak. Each check appends the violations that
// it finds. Both constructor arguments must outlive the checker.
class InvariantChecker {
 public:
  InvariantChecker(const Observations& observations,
                   const InvariantBounds& bounds)
      : observations_(observations), bounds_(bounds) {
    for (const BackendArrival& arrival : observations.arrivals)
      arrivals_[arrival.request_id].push_back(&arrival);
  }

  void CheckRunsAtMostOnce() {
    for (const RequestRecord& request : observations_.requests) {
      if (RunsAtMostOnce(request.kind) && RunCount(request.id) > 1)
        AddViolation("runs at most once", request);
    }
  }

  void CheckRefusedRequestsDidNotRun() {
    const std::set<int> not_executed = NotExecutedStatuses();
    for (const RequestRecord& request : observations_.requests) {
      if (!RunsAtMostOnce(request.kind) ||
          !not_executed.contains(request.status))
        continue;
      if (RunCount(request.id) > 0)
        AddViolation("refused requests do not run", request);
    }
  }

  void CheckRepliesMatchRequests() {
    for (const RequestRecord& request : observations_.requests) {
      if (request.status != kOk)
        continue;
      if (request.seal != "seal-" + request.id)
        AddViolation("replies belong to their requests", request);
      else if (IsStream(request.kind))
        CheckStreamEvents(request);
      else if (request.complete &&
               request.body.find(request.id) == std::string::npos)
        AddViolation("complete replies contain the request id", request);
    }
  }

  void CheckArrivalCredentials() {
    std::map<std::string, const RequestRecord*> requests;
    for (const RequestRecord& request : observations_.requests)
      requests[request.id] = &request;
    for (const BackendArrival& arrival : observations_.arrivals) {
      const auto request = requests.find(arrival.request_id);
      if (request == requests.end()) {
        violations_.push_back({"only requests of callers reach backend servers",
                               arrival.request_id});
        continue;
      }
      if (arrival.has_key)
        AddViolation("API keys do not reach backend servers", *request->second);
      if (arrival.customer != request->second->customer)
        AddViolation("requests carry the customer of their key",
                     *request->second);
    }
  }

  void CheckWithdrawnKeys() {
    for (const KeyWithdrawal& withdrawal : observations_.withdrawals) {
      for (const RequestRecord& request : observations_.requests) {
        if (request.key == withdrawal.key &&
            request.sent > withdrawal.at + bounds_.max_key_withdrawal_delay &&
            RunCount(request.id) > 0)
          AddViolation("withdrawn keys stop working", request);
      }
    }
  }

  void CheckUsageReportConsistency() {
    std::map<std::int64_t, nlohmann::json> counts;
    std::map<std::int64_t, std::string> holders;
    for (const entry_test::UsageReport& report : observations_.usage) {
      const auto first = counts.emplace(report.window, report.counts).first;
      if (first->second != report.counts)
        violations_.push_back({"one count for each usage window",
                               std::to_string(report.window) + ": " +
                                   first->second.dump() + " and " +
                                   report.counts.dump()});
      const auto holder = holders.emplace(report.token, report.holder).first;
      if (holder->second != report.holder)
        violations_.push_back({"one holder for each fencing token",
                               std::to_string(report.token) + ": " +
                                   holder->second + " and " + report.holder});
    }
  }

  // Within one process, a configuration is never replaced by an older one. A
  // version probe succeeds only while its version is in effect.
  void CheckConfigVersionsDoNotDecrease() {
    std::map<std::string, std::vector<const RequestRecord*>> processes;
    for (const RequestRecord& request : observations_.requests) {
      if (request.kind == RequestKind::kVersionProbe && request.status == kOk)
        processes[request.process].push_back(&request);
    }
    for (auto& [process, probes] : processes) {
      for (const RequestRecord* newer : probes) {
        for (const RequestRecord* older : probes) {
          if (older->version < newer->version &&
              older->sent > newer->ended + bounds_.rollback_slack)
            AddViolation("configuration versions do not decrease", *older);
        }
      }
    }
  }

  void CheckAttemptLimit() {
    std::size_t excess = 0;
    for (const auto& [id, arrivals] : arrivals_) {
      std::set<std::string> backends;
      for (const BackendArrival* arrival : arrivals) {
        // A backend server that refused the request did not run it, so that the
        // refusal does not count as an attempt.
        if (arrival->ran)
          backends.insert(arrival->backend);
      }
      if (std::cmp_greater(backends.size(), bounds_.max_attempts))
        ++excess;
    }
    if (excess > kMaxRequestsOverAttemptLimit)
      violations_.push_back(
          {"attempts stay within the limit", std::to_string(excess)});
  }

  // Compares the retries in each window with the requests that callers sent in
  // that window, in the one before and in the one that overlaps both by half,
  // whichever has most.
  void CheckRetryBudget() {
    std::vector<Time> retries;
    std::vector<Time> sent;
    for (const auto& [id, arrivals] : arrivals_) {
      for (std::size_t i = 1; i < arrivals.size(); ++i)
        retries.push_back(arrivals[i]->at);
    }
    for (const RequestRecord& request : observations_.requests)
      sent.push_back(request.sent);
    std::sort(retries.begin(), retries.end());
    std::sort(sent.begin(), sent.end());
    for (const Time start : retries) {
      const auto count = CountInWindow(retries, start, bounds_.retry_window);
      const auto requests =
          std::max({CountInWindow(sent, start, bounds_.retry_window),
                    CountInWindow(sent, start - bounds_.retry_window,
                                  bounds_.retry_window),
                    CountInWindow(sent, start - bounds_.retry_window / 2,
                                  bounds_.retry_window)});
      const double max_retries =
          bounds_.retry_ratio * static_cast<double>(requests) +
          bounds_.retry_slack;
      if (static_cast<double>(count) <= max_retries)
        continue;
      violations_.push_back({"retries of all instances stay within the budget",
                             std::to_string(count) + " retries for " +
                                 std::to_string(requests) + " requests"});
      return;
    }
  }

  // A fault shortly before the report excuses a lower token: a process that was
  // paused may still send a call that it had prepared.
  void CheckFencingTokensDoNotDecrease() {
    std::int64_t highest = 0;
    for (const entry_test::UsageReport& report : observations_.usage) {
      if (report.token < highest &&
          IsFaultFree(report.at - bounds_.resume_slack, report.at))
        violations_.push_back({"fencing tokens do not decrease",
                               std::to_string(report.token) + " after " +
                                   std::to_string(highest)});
      highest = std::max(highest, report.token);
    }
  }

  // Planned work alone, without an unplanned fault, must not cost a request
  // that reached a backend server its complete reply, and graceful shutdowns
  // must succeed.
  void CheckPlannedWorkInterruptsNoRequest() {
    for (const RequestRecord& request : observations_.requests) {
      if (request.abandoned || request.complete || RunCount(request.id) == 0 ||
          request.ended - request.sent > kNearDeadline)
        continue;
      if (IsFaultFree(request.sent - bounds_.fault_recovery_time,
                      request.ended))
        AddViolation("planned work interrupts no request", request);
    }
    for (const GracefulShutdown& shutdown : observations_.shutdowns) {
      if (shutdown.failed &&
          IsFaultFree(shutdown.at - bounds_.fault_recovery_time,
                      shutdown.ended))
        violations_.push_back({"graceful shutdowns succeed", shutdown.process});
    }
  }

  void CheckRetiredBackends() {
    std::map<std::string, const RequestRecord*> requests;
    for (const RequestRecord& request : observations_.requests)
      requests[request.id] = &request;
    for (const BackendRetirement& retirement : observations_.retirements) {
      for (const BackendArrival& arrival : observations_.arrivals) {
        const bool late =
            arrival.backend == retirement.backend &&
            arrival.at > retirement.at + bounds_.max_retirement_delay;
        if (!late || !IsFaultFree(retirement.at - bounds_.fault_recovery_time,
                                  arrival.at))
          continue;
        if (const auto request = requests.find(arrival.request_id);
            request != requests.end())
          AddViolation("retired backend servers get no requests",
                       *request->second);
      }
    }
  }

  std::vector<InvariantViolation> TakeViolations() {
    return std::move(violations_);
  }

 private:
  static bool IsStream(RequestKind kind) {
    return kind == RequestKind::kAtMostOnceStream ||
           kind == RequestKind::kResumableStream;
  }

  // `times` must be sorted; the window excludes `start + length`.
  static std::ptrdiff_t CountInWindow(const std::vector<Time>& times,
                                      Time start,
                                      Millis length) {
    return std::lower_bound(times.begin(), times.end(), start + length) -
           std::lower_bound(times.begin(), times.end(), start);
  }

  void CheckStreamEvents(const RequestRecord& request) {
    for (std::size_t i = 0; i < request.events.size(); ++i) {
      if (std::cmp_not_equal(request.events[i], i + 1)) {
        AddViolation("stream events are neither lost nor duplicated", request);
        return;
      }
    }
    if (request.complete &&
        std::cmp_not_equal(request.events.size(), entry_test::kStreamEvents))
      AddViolation("complete streams contain all events", request);
  }

  // Returns how many times backend servers ran the request.
  std::ptrdiff_t RunCount(const std::string& id) const {
    const auto arrivals = arrivals_.find(id);
    if (arrivals == arrivals_.end())
      return 0;
    return std::count_if(
        arrivals->second.begin(), arrivals->second.end(),
        [](const BackendArrival* arrival) { return arrival->ran; });
  }

  // Returns whether no unplanned fault was active between `from` and `until`,
  // both included.
  bool IsFaultFree(Time from, Time until) const {
    return std::none_of(observations_.faults.begin(),
                        observations_.faults.end(),
                        [from, until](const FaultSpan& fault) {
                          return fault.from <= until && fault.until >= from;
                        });
  }

  void AddViolation(const std::string& invariant,
                    const RequestRecord& request) {
    violations_.push_back(
        {invariant, request.id + " at " + request.process + ", status " +
                        std::to_string(request.status) + ", ran " +
                        std::to_string(RunCount(request.id)) + " times"});
  }

  const Observations& observations_;
  const InvariantBounds& bounds_;
  // By request id, in order of time.
  std::map<std::string, std::vector<const BackendArrival*>> arrivals_;
  std::vector<InvariantViolation> violations_;
};

using Check = void (InvariantChecker::*)();

constexpr Check kTimingIndependentChecks[] = {
    &InvariantChecker::CheckRunsAtMostOnce,
    &InvariantChecker::CheckRefusedRequestsDidNotRun,
    &InvariantChecker::CheckRepliesMatchRequests,
    &InvariantChecker::CheckArrivalCredentials,
    &InvariantChecker::CheckWithdrawnKeys,
    &InvariantChecker::CheckUsageReportConsistency,
    &InvariantChecker::CheckConfigVersionsDoNotDecrease,
    &InvariantChecker::CheckAttemptLimit,
    &InvariantChecker::CheckRetryBudget,
};

// These hold only while the machine schedules the processes without long
// delays.
constexpr Check kTimingDependentChecks[] = {
    &InvariantChecker::CheckFencingTokensDoNotDecrease,
    &InvariantChecker::CheckPlannedWorkInterruptsNoRequest,
    &InvariantChecker::CheckRetiredBackends,
};

}  // namespace

std::vector<InvariantViolation> FindInvariantViolations(
    const Observations& observations,
    const InvariantBounds& bounds,
    InvariantScope scope) {
  InvariantChecker checker(observations, bounds);
  for (const Check check : kTimingIndependentChecks)
    (checker.*check)();
  if (scope == InvariantScope::kAll) {
    for (const Check check : kTimingDependentChecks)
      (checker.*check)();
  }
  return checker.TakeViolations();
}

}  // namespace bamboomount::soak
