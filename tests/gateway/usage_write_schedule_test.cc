#include "gateway/duties/usage_write_schedule.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "gateway/duties/usage_delivery.h"
#include "instants.h"

namespace bamboomount {
namespace {

constexpr Millis kWindowLength{5000};
constexpr Millis kStep{200};
constexpr Millis kDuration{60000};
constexpr int kWindows = kDuration / kWindowLength;
constexpr FencingToken kHolder(1);

// Instances with steady traffic that check their schedules every kStep.
class Fleet {
 public:
  explicit Fleet(int instances) {
    for (int i = 0; i < instances; ++i)
      instances_.push_back(
          {UsageWriteSchedule(UsageWriteSchedule::kReceiptTimeout,
                              static_cast<std::uint32_t>(i) + 1),
           {},
           {}});
  }

  // Time after the end of a window at which the holder confirms its counts;
  // empty if it never does.
  void SetReceiptDelay(std::optional<Millis> delay) { receipt_delay_ = delay; }
  void SetWritesFail() { writes_fail_ = true; }

  // Runs for kDuration and returns the number of writes.
  int CountWrites() {
    int writes = 0;
    for (Millis time(0); time < kDuration; time += kStep) {
      for (Instance& instance : instances_)
        writes += Step(instance, time) ? 1 : 0;
    }
    return writes;
  }

 private:
  struct Instance {
    UsageWriteSchedule schedule;
    UsageLedger usage;
    UsageDelivery delivery;
  };

  bool Step(Instance& instance, Millis time) {
    // Window 0 stands for "none", so the first one is 1.
    const WindowNumber current(time / kWindowLength + 1);
    const WindowNumber ended = current - WindowNumber(1);
    instance.usage.RecordRequest(current, CustomerId("mill"));
    if (receipt_delay_ && time % kWindowLength >= *receipt_delay_)
      instance.delivery.RecordReceived(kHolder, ended);
    const UsageWriteSchedule::Conditions conditions{
        ended, instance.delivery.delivered_through(),
        static_cast<int>(instances_.size())};
    const Instant now = At(time.count());
    if (!instance.schedule.IsDue(instance.usage, conditions, now))
      return false;
    instance.schedule.OnWriteStarted(now);
    if (writes_fail_)
      instance.schedule.OnWriteFailed();
    else
      instance.schedule.OnWritten(instance.usage.revision(), ended);
    return true;
  }

  std::vector<Instance> instances_;
  std::optional<Millis> receipt_delay_;
  bool writes_fail_ = false;
};

BOOST_AUTO_TEST_SUITE(usage_write_schedule)

// Guards against writes that grow with the fleet: with one row for each
// instance and window, 300 instances made 60 writes a second.
BOOST_AUTO_TEST_CASE(a_large_fleet_writes_nothing_while_the_holder_confirms) {
  Fleet fleet(300);
  fleet.SetReceiptDelay(Millis(600));
  BOOST_TEST(fleet.CountWrites() == 0);
}

// Guards against usage that is lost when gossip does not reach the holder:
// instances must write their rows, early enough for the seal.
BOOST_AUTO_TEST_CASE(an_unconfirmed_window_is_written) {
  static_assert(UsageWriteSchedule::kReceiptTimeout +
                    UsageWriteSchedule::kWriteJitter <
                kWindowLength);
  Fleet fleet(30);
  // The first window ends after its length, and the last one has no time left.
  BOOST_TEST(fleet.CountWrites() >= 30 * (kWindows - 2));
  BOOST_TEST(fleet.CountWrites() <= 30 * kWindows);
}

// Guards against a small fleet that loses a large share of the current window
// when all processes end at once.
BOOST_AUTO_TEST_CASE(a_small_fleet_writes_within_a_window) {
  Fleet fleet(9);
  fleet.SetReceiptDelay(Millis(600));
  const int per_instance =
      static_cast<int>(kDuration / UsageWriteSchedule::kMidWindowWriteInterval);
  BOOST_TEST(fleet.CountWrites() >= 9 * (per_instance - 1));
}

// Guards against a fleet that repeats failed writes every second during an
// outage of the store.
BOOST_AUTO_TEST_CASE(failed_writes_back_off) {
  Fleet fleet(30);
  fleet.SetWritesFail();
  const int at_full_back_off =
      static_cast<int>(kDuration / UsageWriteSchedule::kMaxWriteInterval);
  BOOST_TEST(fleet.CountWrites() <= 30 * (at_full_back_off + 3));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
