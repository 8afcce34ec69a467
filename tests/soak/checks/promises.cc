#include "soak/checks/promises.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace bamboomount::soak {
namespace {

constexpr int kOk = 200;
// Part of the time limit after which a request may end without an answer.
constexpr Millis kLongRequest{2500};
// Requests that may run on more backend servers than their route allows.
constexpr std::size_t kAttemptExceptions = 3;

std::set<int> PromisingStatuses() {
  return {408, 421, 429, 503};
}

// Checks one run of the soak. Each check appends what it finds.
class Checker {
 public:
  Checker(const Observations& seen, const PromiseBounds& bounds)
      : seen_(seen), bounds_(bounds) {
    for (const BackendArrival& arrival : seen.arrivals)
      arrivals_[arrival.request_id].push_back(&arrival);
  }

  void CheckRunsAtMostOnce() {
    for (const RequestRecord& request : seen_.requests) {
      if (RunsOnce(request.kind) && Runs(request.id) > 1)
        Report("runs at most once", request);
    }
  }

  void CheckRefusalsAreTrue() {
    const std::set<int> promising = PromisingStatuses();
    for (const RequestRecord& request : seen_.requests) {
      if (!RunsOnce(request.kind) || !promising.contains(request.status))
        continue;
      if (Runs(request.id) > 0)
        Report("a refusal says that the request did not run", request);
    }
  }

  void CheckAnswersBelongToTheirRequests() {
    for (const RequestRecord& request : seen_.requests) {
      if (request.status != kOk)
        continue;
      if (request.seal != "seal-" + request.id)
        Report("answers belong to their requests", request);
      else if (IsStream(request.kind))
        CheckEvents(request);
      else if (request.complete &&
               request.body.find(request.id) == std::string::npos)
        Report("answers are whole", request);
    }
  }

  void CheckKeysStayHere() {
    std::map<std::string, const RequestRecord*> requests;
    for (const RequestRecord& request : seen_.requests)
      requests[request.id] = &request;
    for (const BackendArrival& arrival : seen_.arrivals) {
      const auto request = requests.find(arrival.request_id);
      if (request == requests.end()) {
        broken_.push_back({"only what callers sent runs", arrival.request_id});
        continue;
      }
      if (arrival.has_key)
        Report("backend servers see no key", *request->second);
      if (arrival.customer != request->second->customer)
        Report("requests run for the key's customer", *request->second);
    }
  }

  void CheckWithdrawnKeys() {
    for (const KeyWithdrawal& withdrawal : seen_.withdrawals) {
      for (const RequestRecord& request : seen_.requests) {
        if (request.key == withdrawal.key &&
            request.sent > withdrawal.at + bounds_.key_withdrawal &&
            Runs(request.id) > 0)
          Report("withdrawn keys stop working", request);
      }
    }
  }

  void CheckUsageIsReportedOnce() {
    std::map<std::int64_t, nlohmann::json> counts;
    std::map<std::int64_t, std::string> holders;
    for (const entry_test::UsageReport& report : seen_.usage) {
      const auto first = counts.emplace(report.window, report.counts).first;
      if (first->second != report.counts)
        broken_.push_back({"one count for each usage window",
                           std::to_string(report.window) + ": " +
                               first->second.dump() + " and " +
                               report.counts.dump()});
      const auto holder = holders.emplace(report.token, report.holder).first;
      if (holder->second != report.holder)
        broken_.push_back({"one holder for each fencing token",
                           std::to_string(report.token) + ": " +
                               holder->second + " and " + report.holder});
    }
  }

  // Within one process, a configuration is never replaced by an older one.
  void CheckNothingGoesBack() {
    std::map<std::string, std::vector<const RequestRecord*>> processes;
    for (const RequestRecord& request : seen_.requests) {
      if (request.kind == RequestKind::kVersionProbe && request.status == kOk)
        processes[request.process].push_back(&request);
    }
    for (auto& [process, probes] : processes) {
      for (const RequestRecord* newer : probes) {
        for (const RequestRecord* older : probes) {
          if (older->version < newer->version &&
              older->sent > newer->ended + bounds_.rollback_slack)
            Report("configurations do not go back", *older);
        }
      }
    }
  }

  void CheckAttempts() {
    std::size_t excess = 0;
    for (const auto& [id, arrivals] : arrivals_) {
      std::set<std::string> backends;
      for (const BackendArrival* arrival : arrivals) {
        // A server that refused did not run the request.
        if (arrival->ran)
          backends.insert(arrival->backend);
      }
      if (std::cmp_greater(backends.size(), bounds_.attempts))
        ++excess;
    }
    if (excess > kAttemptExceptions)
      broken_.push_back({"attempts are bounded", std::to_string(excess)});
  }

  void CheckRetryBudget() {
    std::vector<Time> repeats;
    std::vector<Time> sent;
    for (const auto& [id, arrivals] : arrivals_) {
      for (std::size_t i = 1; i < arrivals.size(); ++i)
        repeats.push_back(arrivals[i]->at);
    }
    for (const RequestRecord& request : seen_.requests)
      sent.push_back(request.sent);
    std::sort(repeats.begin(), repeats.end());
    std::sort(sent.begin(), sent.end());
    for (const Time start : repeats) {
      const auto count = CountIn(repeats, start, bounds_.retry_window);
      const auto requests = std::max(
          {CountIn(sent, start, bounds_.retry_window),
           CountIn(sent, start - bounds_.retry_window, bounds_.retry_window),
           CountIn(sent, start - bounds_.retry_window / 2,
                   bounds_.retry_window)});
      const double most = bounds_.retry_ratio * static_cast<double>(requests) +
                          bounds_.retry_slack;
      if (static_cast<double>(count) <= most)
        continue;
      broken_.push_back({"retries are bounded over all instances",
                         std::to_string(count) + " repeats for " +
                             std::to_string(requests) + " requests"});
      return;
    }
  }

  void CheckTokensGrow() {
    std::int64_t highest = 0;
    for (const entry_test::UsageReport& report : seen_.usage) {
      if (report.token < highest &&
          IsCalm(report.at - bounds_.thaw_slack, report.at))
        broken_.push_back({"fencing tokens grow", std::to_string(report.token) +
                                                      " after " +
                                                      std::to_string(highest)});
      highest = std::max(highest, report.token);
    }
  }

  // Without an unplanned fault, whatever is planned, every request that was
  // sent on gets its whole answer.
  void CheckPlannedWorkCutsNothing() {
    for (const RequestRecord& request : seen_.requests) {
      if (request.abandoned || request.complete || Runs(request.id) == 0 ||
          request.ended - request.sent > kLongRequest)
        continue;
      if (IsCalm(request.sent - bounds_.calm, request.ended))
        Report("planned work cuts no request", request);
    }
    for (const PlannedStop& stop : seen_.stops) {
      if (stop.failed && IsCalm(stop.at - bounds_.calm, stop.ended))
        broken_.push_back({"planned stops end by themselves", stop.process});
    }
  }

  void CheckLeavingServers() {
    std::map<std::string, const RequestRecord*> requests;
    for (const RequestRecord& request : seen_.requests)
      requests[request.id] = &request;
    for (const Departure& departure : seen_.departures) {
      for (const BackendArrival& arrival : seen_.arrivals) {
        const bool late = arrival.backend == departure.backend &&
                          arrival.at > departure.at + bounds_.leaving;
        if (!late || !IsCalm(departure.at - bounds_.calm, arrival.at))
          continue;
        if (const auto request = requests.find(arrival.request_id);
            request != requests.end())
          Report("leaving servers get no requests", *request->second);
      }
    }
  }

  std::vector<BrokenPromise> Take() { return std::move(broken_); }

 private:
  static bool IsStream(RequestKind kind) {
    return kind == RequestKind::kTalk || kind == RequestKind::kResumableTalk;
  }

  static std::ptrdiff_t CountIn(const std::vector<Time>& times,
                                Time start,
                                Millis length) {
    return std::lower_bound(times.begin(), times.end(), start + length) -
           std::lower_bound(times.begin(), times.end(), start);
  }

  void CheckEvents(const RequestRecord& request) {
    for (std::size_t i = 0; i < request.events.size(); ++i) {
      if (std::cmp_not_equal(request.events[i], i + 1)) {
        Report("no event is missing or comes twice", request);
        return;
      }
    }
    if (request.complete &&
        std::cmp_not_equal(request.events.size(), entry_test::kStreamEvents))
      Report("streams that look complete are", request);
  }

  std::ptrdiff_t Runs(const std::string& id) const {
    const auto arrivals = arrivals_.find(id);
    if (arrivals == arrivals_.end())
      return 0;
    return std::count_if(
        arrivals->second.begin(), arrivals->second.end(),
        [](const BackendArrival* arrival) { return arrival->ran; });
  }

  // Whether no unplanned fault was there between two moments.
  bool IsCalm(Time from, Time until) const {
    return std::none_of(seen_.faults.begin(), seen_.faults.end(),
                        [from, until](const FaultSpan& fault) {
                          return fault.from <= until && fault.until >= from;
                        });
  }

  void Report(const std::string& promise, const RequestRecord& request) {
    broken_.push_back(
        {promise, request.id + " at " + request.process + ", status " +
                      std::to_string(request.status) + ", ran " +
                      std::to_string(Runs(request.id)) + " times"});
  }

  const Observations& seen_;
  const PromiseBounds& bounds_;
  std::map<std::string, std::vector<const BackendArrival*>> arrivals_;
  std::vector<BrokenPromise> broken_;
};

using Check = void (Checker::*)();

constexpr Check kChecksAtAnySpeed[] = {
    &Checker::CheckRunsAtMostOnce,
    &Checker::CheckRefusalsAreTrue,
    &Checker::CheckAnswersBelongToTheirRequests,
    &Checker::CheckKeysStayHere,
    &Checker::CheckWithdrawnKeys,
    &Checker::CheckUsageIsReportedOnce,
    &Checker::CheckNothingGoesBack,
    &Checker::CheckAttempts,
    &Checker::CheckRetryBudget,
};

// These hold only as long as the machine gives processes their time.
constexpr Check kChecksInTime[] = {
    &Checker::CheckTokensGrow,
    &Checker::CheckPlannedWorkCutsNothing,
    &Checker::CheckLeavingServers,
};

}  // namespace

std::vector<BrokenPromise> FindBrokenPromises(const Observations& observations,
                                              const PromiseBounds& bounds,
                                              PromiseScope scope) {
  Checker checker(observations, bounds);
  for (const Check check : kChecksAtAnySpeed)
    (checker.*check)();
  if (scope == PromiseScope::kAll) {
    for (const Check check : kChecksInTime)
      (checker.*check)();
  }
  return checker.Take();
}

}  // namespace bamboomount::soak
