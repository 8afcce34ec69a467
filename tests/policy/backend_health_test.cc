#include <boost/test/unit_test.hpp>

#include "policy/policy.h"

namespace bamboomount {
namespace {

// Three backend servers with two slots each.
class HealthFixture {
 public:
  HealthFixture() {
    for (const char* name : {"a", "b", "c"})
      backends_.push_back({BackendId(name), ZoneId("z"), false, 2});
    cell_.SetBackends(backends_, now_);
  }

 protected:
  // Enqueues a request and returns where it is granted, if it is.
  std::optional<BackendId> Place(const std::string& id) {
    SlotRequest request;
    request.request = RequestId(id);
    cell_.Enqueue(request, now_);
    for (const SlotDecision& decision : cell_.Decide(now_)) {
      if (decision.request == request.request)
        return decision.backend;
    }
    return std::nullopt;
  }
  void Finish(const std::string& id, SlotEnd end) {
    cell_.Finish(RequestId(id), {end, Tokens(10), Millis(1), Millis(1)}, now_);
  }
  BackendHealth HealthOf(const BackendId& backend) const {
    for (const BackendState& state : cell_.BackendStates()) {
      if (state.backend.backend == backend)
        return state.health;
    }
    throw std::logic_error("unknown backend server");
  }
  // Fills all six slots, the requests are "0" to "5", and reports progress of
  // each for `seconds`; those on `slow` produce a tenth.
  void RunWithStraggler(const BackendId& slow, int seconds) {
    std::map<std::string, BackendId> placed;
    for (int i = 0; i < 6; ++i)
      placed[std::to_string(i)] = Place(std::to_string(i)).value();
    for (int second = 1; second <= seconds; ++second) {
      now_ += Millis(1000);
      for (const auto& [id, backend] : placed) {
        cell_.ObserveProgress(
            RequestId(id), Tokens(second * (backend == slow ? 4L : 40L)), now_);
      }
    }
    cell_.Decide(now_);
  }

  CellScheduler cell_;
  SteadyTime now_{std::chrono::hours(1)};
  std::vector<CellBackend> backends_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(backend_health, HealthFixture)

// Guards against a crashed backend server that stays out for good.
BOOST_AUTO_TEST_CASE(
    crashed_backend_server_recovers_after_one_successful_probe) {
  const BackendId crashed = Place("first").value();
  Finish("first", SlotEnd::kConnectFailed);
  BOOST_TEST((HealthOf(crashed) == BackendHealth::kFailed));
  now_ += Millis(1000);
  BOOST_TEST(Place("probe").value() == crashed);
  BOOST_TEST(Place("during the probe").value() != crashed);
  Finish("probe", SlotEnd::kCompleted);
  BOOST_TEST((HealthOf(crashed) == BackendHealth::kHealthy));
}

// Guards against a crashed backend server that is probed with every request.
BOOST_AUTO_TEST_CASE(failed_probe_doubles_the_probe_delay) {
  const BackendId crashed = Place("first").value();
  Finish("first", SlotEnd::kConnectFailed);
  now_ += Millis(1000);
  BOOST_TEST(Place("probe").value() == crashed);
  Finish("probe", SlotEnd::kConnectFailed);
  now_ += Millis(1500);
  BOOST_TEST(Place("too early").value() != crashed);
  now_ += Millis(500);
  BOOST_TEST(Place("second probe").value() == crashed);
}

// Guards against failures reported late that take a recovered one out again.
BOOST_AUTO_TEST_CASE(late_failure_report_does_not_revert_a_recovery) {
  const BackendId crashed = Place("first").value();
  // Five more fill all slots, so that one of them is on the same server.
  std::string second;
  for (const char* id : {"1", "2", "3", "4", "5"}) {
    if (Place(id) == crashed)
      second = id;
  }
  Finish("first", SlotEnd::kBackendFailed);
  now_ += Millis(1000);
  BOOST_TEST(Place("probe").value() == crashed);
  Finish("probe", SlotEnd::kCompleted);
  Finish(second, SlotEnd::kBackendFailed);
  BOOST_TEST((HealthOf(crashed) == BackendHealth::kHealthy));
}

// Guards against new work on a backend server whose streams crawl.
BOOST_AUTO_TEST_CASE(straggler_gets_only_probes_until_it_has_recovered) {
  const BackendId slow("b");
  RunWithStraggler(slow, 10);
  BOOST_TEST((HealthOf(slow) == BackendHealth::kStraggler));
  for (int i = 0; i < 6; ++i)
    Finish(std::to_string(i), SlotEnd::kCompleted);
  for (int i = 6; i < 10; ++i)
    BOOST_TEST(Place(std::to_string(i)).value() != slow);
  now_ += Millis(30000);
  BOOST_TEST(Place("probe").value() == slow);
  for (int second = 1; second <= 20; ++second) {
    now_ += Millis(1000);
    cell_.ObserveProgress(RequestId("probe"), Tokens(40L * second), now_);
  }
  cell_.Decide(now_);
  BOOST_TEST((HealthOf(slow) == BackendHealth::kHealthy));
}

// Guards against false alarms: equal speeds must not look like stragglers.
BOOST_AUTO_TEST_CASE(equal_token_rates_mark_no_straggler) {
  RunWithStraggler(BackendId("none"), 10);
  for (const CellBackend& backend : backends_)
    BOOST_TEST((HealthOf(backend.backend) == BackendHealth::kHealthy));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
