#include "gateway/placement/poison_part_detector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "instants.h"
#include "placement_fixture.h"

namespace bamboomount {
namespace {

constexpr std::uint64_t kPoison = 66;
constexpr std::uint64_t kSound = 7;
// Long enough after the last crash for a verdict.
constexpr std::int64_t kLater =
    10'000 + PoisonPartDetector::kVerdictDelay.count();

BackendId Server(int number) {
  return BackendId("e-" + std::to_string(number));
}

bool IsPoisonous(PoisonPartDetector& detector,
                 std::uint64_t part,
                 Instant now) {
  detector.Update(now);
  return detector.PoisonousUntil(Prompt(part, 99)).has_value();
}

// Three engines that crash 500 ms apart, the last one at 10 s.
void CrashThree(PoisonPartDetector& detector, std::uint64_t part) {
  for (int i = 0; i < 3; ++i)
    detector.RecordCrash(Prompt(part, 100 + i), Server(i), At(9000 + 500 * i));
}

BOOST_AUTO_TEST_SUITE(poison_part_detector)

// Guards against requests of one kind that crash one engine after the other.
BOOST_AUTO_TEST_CASE(a_part_in_three_crashes_is_found) {
  PoisonPartDetector detector;
  CrashThree(detector, kPoison);
  const auto found = detector.Update(At(kLater));
  // The part that all prompts begin with was never served either.
  BOOST_REQUIRE(found.size() == 2U);
  BOOST_TEST((found.back().id == PromptPartId(kPoison)));
  BOOST_TEST(found.back().crashed_servers.size() == 3U);
  BOOST_TEST(IsPoisonous(detector, kPoison, At(kLater)));
  BOOST_TEST(detector.Update(At(kLater + 1)).empty());
}

// Guards against sound requests that are refused because they share a part
// with a poisoned one.
BOOST_AUTO_TEST_CASE(served_requests_clear_the_parts_that_they_share) {
  PoisonPartDetector detector;
  detector.RecordServed(Prompt(kSound, 1), At(0));
  CrashThree(detector, kPoison);
  CrashThree(detector, kSound);
  BOOST_TEST(IsPoisonous(detector, kPoison, At(kLater)));
  detector.RecordServed(Prompt(kSound, 2), At(kLater));
  BOOST_TEST(!IsPoisonous(detector, kSound, At(kLater)));
  BOOST_TEST(IsPoisonous(detector, kPoison, At(kLater)));
}

// Guards against a part that is refused because one rack failed, or because a
// single server keeps failing within a moment.
BOOST_AUTO_TEST_CASE(engines_that_crash_together_count_once) {
  PoisonPartDetector detector;
  for (const std::int64_t i : {0, 1, 2, 3, 4})
    detector.RecordCrash(Prompt(kSound, 1), Server(static_cast<int>(i)),
                         At(10 * i));
  for (const std::int64_t i : {0, 1, 2, 3, 4})
    detector.RecordCrash(Prompt(kSound, 1), Server(1), At(200 + 200 * i));
  BOOST_TEST(!IsPoisonous(detector, kSound, At(kLater)));
}

// Guards against a fleet in which each instance sees too few crashes to notice,
// and against crashes that count twice because two instances report them.
BOOST_AUTO_TEST_CASE(instances_add_up_their_evidence) {
  PoisonPartDetector detectors[3];
  for (int i = 0; i < 3; ++i)
    detectors[i].RecordCrash(Prompt(kPoison, 100 + i), Server(i),
                             At(9000 + 500 * i));
  // 0 and 1 both saw the first crash.
  detectors[1].RecordCrash(Prompt(kPoison, 100), Server(0), At(9020));
  detectors[1].Merge(detectors[0].Evidence(At(9600)), At(9650));
  BOOST_TEST(!IsPoisonous(detectors[1], kPoison, At(kLater)));
  // 2 learns of the first crash from 1.
  detectors[2].Merge(detectors[1].Evidence(At(10'000)), At(10'050));
  BOOST_TEST(IsPoisonous(detectors[2], kPoison, At(kLater)));
  BOOST_TEST(!IsPoisonous(detectors[0], kPoison, At(kLater)));
}

// Guards against an instance with little traffic that refuses a sound part
// because it heard of crashes only.
BOOST_AUTO_TEST_CASE(an_instance_that_served_a_part_clears_it_for_others) {
  PoisonPartDetector busy;
  PoisonPartDetector idle;
  busy.RecordServed(Prompt(kSound, 1), At(8500));
  CrashThree(idle, kSound);
  busy.Merge(idle.Evidence(At(10'000)), At(10'100));
  idle.Merge(busy.Evidence(At(10'200)), At(10'300));
  BOOST_TEST(!IsPoisonous(idle, kSound, At(kLater)));
  BOOST_TEST(!IsPoisonous(busy, kSound, At(kLater)));
}

// Guards against a report that fills datagrams after the failure of many
// engines, and one that leaves out the part with most crashes.
BOOST_AUTO_TEST_CASE(the_most_suspect_parts_are_reported) {
  PoisonPartDetector detector;
  for (std::uint64_t part = 1000; part < 1100; ++part)
    detector.RecordCrash(Prompt(part, 1), Server(1), At(9900));
  CrashThree(detector, kPoison);
  const auto evidence = detector.Evidence(At(10'000));
  BOOST_TEST(evidence.size() == PoisonPartDetector::kMaxEvidence);
  BOOST_TEST(std::any_of(
      evidence.begin(), evidence.end(),
      [](const auto& part) { return part.part == PromptPartId(kPoison); }));
}

// Guards against parts that are remembered for ever, and against a poisonous
// one that is forgotten as soon as it does no harm.
BOOST_AUTO_TEST_CASE(crashes_are_forgotten) {
  PoisonPartDetector detector;
  CrashThree(detector, kPoison);
  detector.RecordCrash(Prompt(kSound, 1), Server(1), At(10'000));
  const Instant last_crash = At(10'000);
  const Instant later = last_crash + PoisonPartDetector::kSuspicionPeriod;
  BOOST_TEST(IsPoisonous(detector, kPoison, later));
  const Instant end = last_crash + PoisonPartDetector::kPoisonPeriod;
  BOOST_TEST(IsPoisonous(detector, kPoison, end - Millis(1)));
  BOOST_TEST(!IsPoisonous(detector, kPoison, end));
  BOOST_TEST(detector.Evidence(end).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
