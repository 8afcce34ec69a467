#include <boost/test/unit_test.hpp>
#include <optional>

#include "controller/controller.h"

namespace bamboomount {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr Millis kTimeout{1000};

class RecordingGuard : public LeaseGuard {
 public:
  void Arm(nanoseconds deadline) override { deadline_ = deadline; }
  void Disarm() override { deadline_.reset(); }
  const std::optional<nanoseconds>& deadline() const { return deadline_; }

 private:
  std::optional<nanoseconds> deadline_;
};

// A store whose commits take 1 s of simulated time.
class ClockAdvancingStore : public TableStore {
 public:
  ClockAdvancingStore(TableStore& inner, nanoseconds& now)
      : inner_(inner), now_(now) {}
  Result<StoreResponse<CommitOutcome>> CommitWithEra(
      const Transaction& transaction,
      Millis timeout) override {
    auto outcome = inner_.CommitWithEra(transaction, timeout);
    now_ += seconds(1);
    return outcome;
  }
  Result<StoreResponse<std::optional<Row>>> ReadWithEra(
      const std::string& key,
      Millis timeout) override {
    return inner_.ReadWithEra(key, timeout);
  }
  Result<StoreResponse<std::vector<Row>>> ScanWithEra(const std::string& prefix,
                                                      Millis timeout) override {
    return inner_.ScanWithEra(prefix, timeout);
  }

 private:
  TableStore& inner_;
  nanoseconds& now_;
};

// A lease manager with its own clock.
struct Instance {
  Instance(TableStore& store,
           const std::string& name,
           const LeaseSettings& settings = {})
      : lease(store, guard, InstanceId(name), settings, [this] {
          return now;
        }) {}

  nanoseconds now{seconds(1000)};
  RecordingGuard guard;
  LeaseManager lease;
};

struct Fixture {
  InMemoryTableStore store;
  Instance a{store, "a"};
  Instance b{store, "b"};
  Instance c{store, "c"};

  void Advance(Millis time) {
    a.now += time;
    b.now += time;
    c.now += time;
  }
  // Lets `instance` acquire the lease after it has expired.
  void TakeOver(Instance& instance) {
    instance.lease.Step();
    if (!instance.lease.holds()) {
      Advance(seconds(7));
      instance.lease.Step();
    }
    BOOST_REQUIRE(instance.lease.holds());
  }
};

BOOST_FIXTURE_TEST_SUITE(lease, Fixture)

// A guard that is not armed would let a paused holder act on an expired lease;
// one that stays armed would end a process that no longer holds the lease.
BOOST_AUTO_TEST_CASE(the_guard_is_armed_exactly_while_the_lease_is_held) {
  a.lease.Step();
  BOOST_TEST(a.lease.holds());
  BOOST_TEST((a.guard.deadline() == a.now + Millis(5500)));
  a.lease.StepDown();
  BOOST_TEST(!a.guard.deadline().has_value());
}

// Acquiring the lease earlier than its duration plus the margin (7 s) after the
// last change of its row would make two holders at the same time.
BOOST_AUTO_TEST_CASE(a_lease_is_taken_over_only_after_it_was_unchanged) {
  a.lease.Step();
  b.lease.Step();
  Advance(Millis(6999));
  b.lease.Step();
  BOOST_TEST(!b.lease.holds());
  Advance(Millis(1));
  b.lease.Step();
  BOOST_TEST(b.lease.holds());
  BOOST_TEST(b.lease.token() == FencingToken(2));
}

// If the validity started with the response, the lease would be held longer
// than another instance waits before it acquires the lease.
BOOST_AUTO_TEST_CASE(validity_counts_from_before_a_slow_renewal) {
  InMemoryTableStore table;
  nanoseconds now{seconds(1000)};
  ClockAdvancingStore advancing(table, now);
  RecordingGuard guard;
  LeaseManager manager(advancing, guard, InstanceId("c"), {},
                       [&now] { return now; });
  manager.Step();
  BOOST_TEST((guard.deadline() == seconds(1000) + Millis(5500)));
  now = seconds(1002);
  manager.Step();
  BOOST_TEST((guard.deadline() == seconds(1002) + Millis(5500)));
}

// A holder that gave up the lease at the first lost response would leave the
// fleet without an active controller. A holder that counted the renewal without
// reading the row could act on a lease that it does not hold.
BOOST_AUTO_TEST_CASE(
    a_renewal_with_a_lost_response_extends_the_lease_if_committed) {
  a.lease.Step();
  Advance(seconds(2));
  store.SetFaults({.lost_commits = 1});
  a.lease.Step();
  BOOST_TEST((a.guard.deadline() == a.now + Millis(3500)));
  store.SetFaults({.lost_commit_responses = 1});
  a.lease.Step();
  BOOST_TEST((a.guard.deadline() == a.now + Millis(5500)));
  store.SetFaults({});
  const auto outcome =
      a.lease.CommitAsHolder(Transaction().Put("x", "1"), kTimeout);
  BOOST_TEST((outcome.value() == CommitOutcome::kCommitted));
}

// An instance that did not recognize its own row after a lost response would
// wait for its own lease to expire.
BOOST_AUTO_TEST_CASE(an_acquisition_with_a_lost_response_is_recovered) {
  store.SetFaults({.lost_commit_responses = 1});
  a.lease.Step();
  BOOST_TEST(!a.lease.holds());
  Advance(seconds(1));
  a.lease.Step();
  BOOST_TEST(a.lease.holds());
  BOOST_TEST((a.guard.deadline() == a.now + Millis(4500)));
}

// A holder that did not step down before the deadline of its guard would be
// ended by the guard in every outage of the store.
BOOST_AUTO_TEST_CASE(a_holder_steps_down_in_an_outage_before_the_guard_fires) {
  a.lease.Step();
  store.SetFaults({.outage = true});
  Advance(Millis(4999));
  a.lease.Step();
  BOOST_TEST(a.lease.holds());
  Advance(Millis(1));
  a.lease.Step();
  BOOST_TEST(!a.lease.holds());
  BOOST_TEST(!a.guard.deadline().has_value());
}

// A holder whose clock was stopped, as in a paused virtual machine, does not
// notice that its lease has expired. Without the condition on the lease row its
// commit would take effect although another instance holds the lease.
BOOST_AUTO_TEST_CASE(a_commit_of_a_holder_with_a_stopped_clock_is_refused) {
  a.lease.Step();
  b.lease.Step();
  b.now += seconds(7);
  b.lease.Step();
  BOOST_TEST(b.lease.holds());
  BOOST_TEST(a.lease.HoldsFor(kTimeout));
  const auto outcome =
      a.lease.CommitAsHolder(Transaction().Put("order/x", "1"), kTimeout);
  BOOST_TEST((outcome.value() == CommitOutcome::kConflict));
  BOOST_TEST(!store.Read("order/x", kTimeout).value().has_value());
}

// An action that is still in progress when the lease expires could overlap with
// one of the next holder.
BOOST_AUTO_TEST_CASE(no_action_starts_that_could_outlast_the_lease) {
  a.lease.Step();
  Advance(Millis(4500));
  BOOST_TEST(!a.lease.HoldsFor(kTimeout));
  const auto outcome =
      a.lease.CommitAsHolder(Transaction().Put("x", "1"), kTimeout);
  BOOST_TEST((outcome.error().code == ErrorCode::kNotLeaseHolder));
  BOOST_TEST((outcome.error().verdict == RunVerdict::kNotRun));
}

// With 350 instances, a read in each step would use most of the capacity of the
// table service.
BOOST_AUTO_TEST_CASE(an_instance_without_the_lease_reads_at_a_bounded_rate) {
  a.lease.Step();
  const std::size_t before = store.call_count();
  for (int i = 0; i < 300; ++i) {
    Advance(Millis(200));
    a.lease.Step();
    b.lease.Step();
  }
  BOOST_TEST(!b.lease.holds());
  // In one minute: one renewal by the holder and one read by the other instance
  // every 2 s.
  BOOST_TEST(store.call_count() - before <= 60U);
}

// If the next instance waited for a released lease to expire, the fleet would
// have no active controller for 7 s after a graceful shutdown.
BOOST_AUTO_TEST_CASE(a_released_lease_is_acquired_without_waiting) {
  a.lease.Step();
  a.lease.Release();
  BOOST_TEST(!a.lease.holds());
  b.lease.Step();
  BOOST_TEST(b.lease.holds());
  // The release is the second write of the row.
  BOOST_TEST(b.lease.token() == FencingToken(3));
}

// The row of the lease is lost with the newest writes. If the next token came
// from the row, two tenures would have the same one, and the platform could not
// tell a former holder from the present one.
BOOST_AUTO_TEST_CASE(no_token_is_given_out_again_after_a_restore) {
  a.lease.Step();
  store.SaveCopy();
  Advance(seconds(4));
  b.lease.Step();
  Advance(seconds(7));
  b.lease.Step();
  const FencingToken lost = b.lease.token();
  BOOST_TEST(lost == FencingToken(2));
  store.RestoreCopy();
  TakeOver(c);
  BOOST_TEST(c.lease.token() > lost);
}

// Guards against the same if the copy is from before the first claim.
BOOST_AUTO_TEST_CASE(no_token_is_given_out_again_if_the_row_is_lost) {
  store.SaveCopy();
  a.lease.Step();
  store.RestoreCopy();
  TakeOver(b);
  BOOST_TEST(b.lease.token() > a.lease.token());
}

// If the row is missing, its holder may still act: the row may have been lost
// in a restore. An instance that acquired the lease at once would make two
// holders.
BOOST_AUTO_TEST_CASE(a_lost_row_is_waited_for_like_an_unchanged_one) {
  store.SaveCopy();
  a.lease.Step();
  store.RestoreCopy();
  b.lease.Step();
  Advance(Millis(6999));
  b.lease.Step();
  BOOST_TEST(!b.lease.holds());
  Advance(Millis(1));
  b.lease.Step();
  BOOST_TEST(b.lease.holds());
}

// An older copy may show the lease as released although it was acquired again
// since. An instance that acquired it at once would make two holders.
BOOST_AUTO_TEST_CASE(a_release_before_a_restore_does_not_free_the_lease) {
  a.lease.Step();
  a.lease.Release();
  store.SaveCopy();
  b.lease.Step();
  BOOST_TEST(b.lease.holds());
  store.RestoreCopy();
  c.lease.Step();
  BOOST_TEST(!c.lease.holds());
}

// An older copy shows a former holder its own row, at a version that it
// expects. If its renewal counted, it would act again with an older token.
BOOST_AUTO_TEST_CASE(a_former_holder_does_not_renew_in_an_older_copy) {
  a.lease.Step();
  store.SaveCopy();
  b.lease.Step();
  b.now += seconds(7);
  b.lease.Step();
  BOOST_TEST(b.lease.holds());
  store.RestoreCopy();
  // Less time has passed for this instance, as in a paused virtual machine.
  a.now += seconds(2);
  a.lease.Step();
  BOOST_TEST(!a.lease.holds());
  BOOST_TEST(!a.guard.deadline().has_value());
}

// Guards against the same if the row is read after a renewal without a
// response.
BOOST_AUTO_TEST_CASE(a_former_holder_does_not_recognize_itself_in_a_copy) {
  LeaseSettings settings;
  settings.store_timeout = Millis(1);
  Instance holder(store, "d", settings);
  holder.lease.Step();
  store.SaveCopy();
  holder.now += seconds(2);
  store.SetFaults({.delay = settings.store_timeout});
  holder.lease.Step();
  BOOST_TEST(holder.lease.holds());
  store.SetFaults({});
  store.RestoreCopy();
  holder.lease.Step();
  BOOST_TEST(!holder.lease.holds());
}

// The row of an acquisition with a lost response may come from the copy, while
// another instance has held the lease since.
BOOST_AUTO_TEST_CASE(an_unconfirmed_acquisition_ends_with_its_era) {
  store.SetFaults({.lost_commit_responses = 1});
  a.lease.Step();
  store.SetFaults({});
  store.SaveCopy();
  store.RestoreCopy();
  a.lease.Step();
  BOOST_TEST(!a.lease.holds());
}

// A commit in a restored table proves nothing about the tenure: the version of
// the row that it expects was given out again.
BOOST_AUTO_TEST_CASE(a_commit_in_a_later_era_ends_the_tenure) {
  a.lease.Step();
  store.SaveCopy();
  store.RestoreCopy();
  const auto outcome =
      a.lease.CommitAsHolder(Transaction().Put("x", "1"), kTimeout);
  BOOST_REQUIRE(outcome.has_error());
  BOOST_TEST((outcome.error().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(!a.lease.holds());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
