#include "gateway/duties/duty_lease.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr Millis kDuration{3000};

DutyLease MakeLease(const std::string& name) {
  return {InstanceId(name), Incarnation(name + "-1"), kDuration};
}

// An in-memory store with the lease's row, its version, conditional writes and
// an older copy from which it can come back.
class FakeLeaseStore {
 public:
  explicit FakeLeaseStore(StoreEra era = StoreEra(0)) { state_.era = era; }

  std::optional<RowVersion> Write(const DutyLease::Claim& claim) {
    if (claim.expected != state_.version)
      return std::nullopt;
    WriteElsewhere();
    state_.version = state_.position;
    state_.row = claim.row;
    return state_.version;
  }
  // A transaction that does not touch the row.
  void WriteElsewhere() { state_.position += RowVersion(1); }
  void TakeCopy() { copy_ = state_; }
  void RestoreCopy() {
    const StoreEra era = state_.era + StoreEra(1);
    state_ = copy_;
    state_.era = era;
  }
  const LeaseSnapshot& Read() const { return state_; }
  StoreEra era() const { return state_.era; }

 private:
  LeaseSnapshot state_;
  LeaseSnapshot copy_;
};

// Claims the lease at `now` and returns the claim, which must succeed.
DutyLease::Claim TakeLease(DutyLease& lease, FakeLeaseStore& store, int now) {
  const auto claim = lease.NextClaim(At(now));
  BOOST_REQUIRE(claim.has_value());
  const auto version = store.Write(*claim);
  BOOST_REQUIRE(version.has_value());
  lease.OnCommitted(*claim, *version, store.era(), At(now));
  return *claim;
}

BOOST_AUTO_TEST_SUITE(duty_lease)

// Guards against an instance that claims the lease before it has read the row,
// and so ignores another holder.
BOOST_AUTO_TEST_CASE(no_claim_before_the_row_is_read) {
  DutyLease lease = MakeLease("a");
  BOOST_TEST(!lease.NextClaim(At(0)).has_value());
  BOOST_TEST(!lease.HoldsFor(Millis(0), At(0)));
}

// Guards against two holders at once: an instance that takes over before the
// lease duration and the margin have passed since it first saw the row.
BOOST_AUTO_TEST_CASE(lease_is_taken_over_only_after_expiry) {
  FakeLeaseStore store;
  DutyLease first = MakeLease("a");
  first.ObserveRow(store.Read(), At(0));
  const DutyLease::Claim claim = TakeLease(first, store, 0);
  BOOST_TEST(first.HoldsFor(Millis(2999), At(0)));
  BOOST_TEST(!first.HoldsFor(Millis(0), At(3000)));
  DutyLease second = MakeLease("b");
  second.ObserveRow(store.Read(), At(100));
  BOOST_TEST(!second.NextClaim(At(4000)).has_value());
  const auto taken = second.NextClaim(At(4100));
  BOOST_TEST(taken.has_value());
  BOOST_TEST((taken->row.token > claim.row.token));
}

// Guards against a holder whose renewal was written although the response was
// lost. If it does not adopt the new version from the next read, its later
// renewals fail on the version condition.
BOOST_AUTO_TEST_CASE(renewal_with_lost_response_is_recovered_by_reading) {
  FakeLeaseStore store;
  DutyLease lease = MakeLease("a");
  lease.ObserveRow(store.Read(), At(0));
  TakeLease(lease, store, 0);
  const auto renewal = lease.NextClaim(At(1000));
  store.Write(*renewal);
  lease.OnOutcomeUnknown(*renewal, At(1000));
  lease.ObserveRow(store.Read(), At(2000));
  BOOST_TEST(lease.HoldsFor(Millis(1999), At(2000)));
  BOOST_TEST(!lease.HoldsFor(Millis(2000), At(2000)));
  BOOST_TEST(store.Write(*lease.NextClaim(At(2000))).has_value());
}

// Guards against a restarted process that treats the lease of its previous
// incarnation as its own and does not wait for it to expire.
BOOST_AUTO_TEST_CASE(restarted_holder_waits_for_expiry) {
  FakeLeaseStore store;
  DutyLease first = MakeLease("a");
  first.ObserveRow(store.Read(), At(0));
  const auto claim = first.NextClaim(At(0));
  store.Write(*claim);
  DutyLease again(InstanceId("a"), Incarnation("a-2"), kDuration);
  again.ObserveRow(store.Read(), At(100));
  BOOST_TEST(!again.HoldsFor(Millis(0), At(100)));
  BOOST_TEST(!again.NextClaim(At(3000)).has_value());
}

// Guards against two holders with one token: the store came back from a copy
// without the last tenure, and the token after the one in the row was given out
// twice.
BOOST_AUTO_TEST_CASE(tokens_rise_over_a_restore) {
  for (const bool copy_has_row : {false, true}) {
    FakeLeaseStore store(StoreEra(1));
    DutyLease first = MakeLease("a");
    DutyLease second = MakeLease("b");
    DutyLease third = MakeLease("c");
    first.ObserveRow(store.Read(), At(0));
    if (copy_has_row)
      TakeLease(first, store, 4000);
    store.TakeCopy();
    second.ObserveRow(store.Read(), At(4000));
    const DutyLease::Claim lost = TakeLease(second, store, 8000);
    store.RestoreCopy();
    third.ObserveRow(store.Read(), At(8100));
    const DutyLease::Claim next = TakeLease(third, store, 12'100);
    BOOST_TEST((next.row.token > lost.row.token));
    BOOST_TEST(next.history_lost);
  }
}

// Guards against two holders at once after a restore: the row in the copy is
// the one that the next holder has seen for long, or there is none.
BOOST_AUTO_TEST_CASE(a_takeover_after_a_restore_waits_for_the_lost_tenure) {
  FakeLeaseStore store(StoreEra(1));
  DutyLease first = MakeLease("a");
  DutyLease second = MakeLease("b");
  for (DutyLease* lease : {&first, &second})
    lease->ObserveRow(store.Read(), At(0));
  store.TakeCopy();
  TakeLease(first, store, 4000);
  store.RestoreCopy();
  second.ObserveRow(store.Read(), At(4100));
  BOOST_TEST(first.HoldsFor(Millis(0), At(6999)));
  BOOST_TEST(!second.NextClaim(At(8000)).has_value());
  BOOST_TEST(second.NextClaim(At(8100)).has_value());
}

// Guards against a former holder that finds its own row in the copy and goes on
// with its old token, though others have held the lease since.
BOOST_AUTO_TEST_CASE(a_former_holder_does_not_resume_from_the_copy) {
  FakeLeaseStore store(StoreEra(1));
  DutyLease first = MakeLease("a");
  first.ObserveRow(store.Read(), At(0));
  TakeLease(first, store, 4000);
  store.TakeCopy();
  DutyLease second = MakeLease("b");
  second.ObserveRow(store.Read(), At(4000));
  const DutyLease::Claim taken = TakeLease(second, store, 8000);
  store.RestoreCopy();
  first.ObserveRow(store.Read(), At(8100));
  BOOST_TEST(!first.NextClaim(At(8100)).has_value());
  const DutyLease::Claim again = TakeLease(first, store, 12'100);
  BOOST_TEST((again.row.token > taken.row.token));
}

// Guards against a renewal that the store of a later era accepts because the
// version in its condition was given out again.
BOOST_AUTO_TEST_CASE(a_claim_of_an_earlier_era_does_not_hold) {
  FakeLeaseStore store(StoreEra(1));
  DutyLease first = MakeLease("a");
  first.ObserveRow(store.Read(), At(0));
  store.TakeCopy();
  TakeLease(first, store, 4000);
  const auto renewal = first.NextClaim(At(5000));
  store.RestoreCopy();
  DutyLease second = MakeLease("b");
  second.ObserveRow(store.Read(), At(5000));
  TakeLease(second, store, 9000);
  BOOST_TEST((store.Read().version == renewal->expected));
  first.OnCommitted(*renewal, *store.Write(*renewal), store.era(), At(9000));
  BOOST_TEST(!first.HoldsFor(Millis(0), At(9000)));
  first.ObserveRow(store.Read(), At(9000));
  BOOST_TEST(!first.HoldsFor(Millis(0), At(9000)));
}

// Guards against a tenure that ends, or a claim on an old row, because an
// answer came late or without the era of the store.
BOOST_AUTO_TEST_CASE(answers_of_an_earlier_era_change_nothing) {
  FakeLeaseStore store(StoreEra(2));
  DutyLease lease = MakeLease("a");
  lease.ObserveRow(store.Read(), At(0));
  const DutyLease::Claim claim = TakeLease(lease, store, 4000);
  for (const StoreEra earlier : {StoreEra(0), StoreEra(1)}) {
    LeaseSnapshot empty;
    empty.era = earlier;
    lease.ObserveRow(empty, At(4100));
    BOOST_TEST(lease.HoldsFor(Millis(2899), At(4100)));
    lease.OnConflict(claim, earlier);
    BOOST_TEST(lease.HoldsFor(Millis(2899), At(4100)));
    lease.OnCommitted(claim, RowVersion(99), earlier, At(4100));
    BOOST_TEST((lease.version() == store.Read().version));
    BOOST_TEST((lease.era() == StoreEra(2)));
  }
}

// Guards against a tenure with a token that another instance has used, if the
// store fell back without saying so.
BOOST_AUTO_TEST_CASE(no_tenure_begins_with_a_token_that_is_not_the_highest) {
  FakeLeaseStore store;
  DutyLease lease = MakeLease("a");
  lease.ObserveRow(store.Read(), At(0));
  lease.ObserveToken(FencingToken(3));
  BOOST_TEST(!lease.NextClaim(At(4000)).has_value());
  for (int i = 0; i < 3; ++i)
    store.WriteElsewhere();
  lease.ObserveRow(store.Read(), At(4000));
  const DutyLease::Claim claim = TakeLease(lease, store, 4000);
  BOOST_TEST((claim.row.token == FencingToken(4)));
  lease.ObserveToken(FencingToken(5));
  BOOST_TEST(!lease.HoldsFor(Millis(0), At(4000)));
  // The other holder's time is not known to have passed.
  lease.ObserveRow(store.Read(), At(9000));
  for (int i = 0; i < 2; ++i)
    store.WriteElsewhere();
  BOOST_TEST(!lease.NextClaim(At(9000)).has_value());
}

enum class StoreFault { kNone, kCopyTaken, kRestored };
enum class ClaimFault { kNone, kResponseLost, kRequestLost, kWriteDelayed };

struct Action {
  int instance = 0;
  int gap = 0;
  ClaimFault fault = ClaimFault::kNone;
  bool reads_first = true;
  StoreFault store = StoreFault::kNone;
};

// Guards against two holders at once and against fencing tokens that decrease.
// Random sequences combine lost requests, lost responses, delayed writes,
// claims without a preceding read and a store that comes back from older
// copies.
RC_BOOST_PROP(at_most_one_holder_and_tokens_do_not_decrease, ()) {
  constexpr int kInstances = 3;
  const auto actions = *rc::gen::container<std::vector<Action>>(
      200,
      rc::gen::build<Action>(
          rc::gen::set(&Action::instance, rc::gen::inRange(0, kInstances)),
          rc::gen::set(&Action::gap, rc::gen::inRange(0, 900)),
          rc::gen::set(&Action::fault,
                       rc::gen::element(ClaimFault::kNone, ClaimFault::kNone,
                                        ClaimFault::kResponseLost,
                                        ClaimFault::kRequestLost,
                                        ClaimFault::kWriteDelayed)),
          rc::gen::set(&Action::reads_first, rc::gen::arbitrary<bool>()),
          rc::gen::set(&Action::store, rc::gen::weightedElement<StoreFault>(
                                           {{20, StoreFault::kNone},
                                            {2, StoreFault::kCopyTaken},
                                            {1, StoreFault::kRestored}}))));
  FakeLeaseStore store(StoreEra(1));
  std::vector<DutyLease> leases;
  leases.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i)
    leases.push_back(MakeLease(std::to_string(i)));
  std::vector<DutyLease::Claim> late;
  std::int64_t now = 0;
  FencingToken newest;
  int newest_holder = 0;
  for (const Action& action : actions) {
    now += action.gap;
    if (action.store == StoreFault::kCopyTaken)
      store.TakeCopy();
    if (action.store == StoreFault::kRestored)
      store.RestoreCopy();
    if (action.gap % 5 == 0)
      store.WriteElsewhere();
    DutyLease& lease = leases[static_cast<std::size_t>(action.instance)];
    if (!late.empty() && action.gap % 3 == 0) {
      store.Write(late.back());
      late.pop_back();
    }
    if (action.reads_first)
      lease.ObserveRow(store.Read(), At(now));
    if (const auto claim = lease.NextClaim(At(now))) {
      const bool written_now = action.fault == ClaimFault::kNone ||
                               action.fault == ClaimFault::kResponseLost;
      const auto version =
          written_now ? store.Write(*claim) : std::optional<RowVersion>();
      if (action.fault == ClaimFault::kWriteDelayed)
        late.push_back(*claim);
      if (action.fault != ClaimFault::kNone)
        lease.OnOutcomeUnknown(*claim, At(now));
      else if (version)
        lease.OnCommitted(*claim, *version, store.era(), At(now));
      else
        lease.OnConflict(*claim, store.era());
    }
    int holders = 0;
    for (const DutyLease& one : leases)
      holders += one.HoldsFor(Millis(0), At(now)) ? 1 : 0;
    RC_ASSERT(holders <= 1);
    if (lease.HoldsFor(Millis(0), At(now))) {
      RC_ASSERT(lease.token() > newest ||
                (lease.token() == newest && action.instance == newest_holder));
      newest = lease.token();
      newest_holder = action.instance;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
