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

// The row and its version, with writes under a condition as the store has them.
class FakeLeaseStore {
 public:
  std::optional<RowVersion> Write(const DutyLease::Claim& claim) {
    if (claim.expected != version_)
      return std::nullopt;
    version_ += RowVersion(1);
    row_ = claim.row;
    return version_;
  }
  const std::optional<DutyLeaseRow>& row() const { return row_; }
  RowVersion version() const { return version_; }

 private:
  std::optional<DutyLeaseRow> row_;
  RowVersion version_;
};

BOOST_AUTO_TEST_SUITE(duty_lease)

// Guards against an instance that acts before it knows the row.
BOOST_AUTO_TEST_CASE(no_claim_before_the_row_is_read) {
  DutyLease lease = MakeLease("a");
  BOOST_TEST(!lease.NextClaim(At(0)).has_value());
  BOOST_TEST(!lease.HoldsFor(Millis(0), At(0)));
}

// Guards against two holders: the next one must wait longer than the lease.
BOOST_AUTO_TEST_CASE(lease_is_taken_over_only_after_expiry) {
  FakeLeaseStore store;
  DutyLease first = MakeLease("a");
  first.ObserveRow(std::nullopt, RowVersion(), At(0));
  const auto claim = first.NextClaim(At(0));
  first.OnCommitted(*claim, *store.Write(*claim), At(0));
  BOOST_TEST(first.HoldsFor(Millis(2999), At(0)));
  BOOST_TEST(!first.HoldsFor(Millis(0), At(3000)));
  DutyLease second = MakeLease("b");
  second.ObserveRow(store.row(), store.version(), At(100));
  BOOST_TEST(!second.NextClaim(At(4000)).has_value());
  const auto taken = second.NextClaim(At(4100));
  BOOST_TEST(taken.has_value());
  BOOST_TEST((taken->row.token == FencingToken(2)));
}

// Guards against a holder whose renewal was written while its answer was lost,
// and that goes on with a version that is no longer in the store.
BOOST_AUTO_TEST_CASE(renewal_with_lost_response_is_recovered_by_reading) {
  FakeLeaseStore store;
  DutyLease lease = MakeLease("a");
  lease.ObserveRow(std::nullopt, RowVersion(), At(0));
  const auto claim = lease.NextClaim(At(0));
  lease.OnCommitted(*claim, *store.Write(*claim), At(0));
  const auto renewal = lease.NextClaim(At(1000));
  store.Write(*renewal);
  lease.OnOutcomeUnknown(*renewal, At(1000));
  lease.ObserveRow(store.row(), store.version(), At(2000));
  BOOST_TEST(lease.HoldsFor(Millis(1999), At(2000)));
  BOOST_TEST(!lease.HoldsFor(Millis(2000), At(2000)));
  BOOST_TEST(store.Write(*lease.NextClaim(At(2000))).has_value());
}

// Guards against a restarted process that takes the lease of the one before it
// for its own.
BOOST_AUTO_TEST_CASE(restarted_holder_waits_for_expiry) {
  FakeLeaseStore store;
  DutyLease first = MakeLease("a");
  first.ObserveRow(std::nullopt, RowVersion(), At(0));
  const auto claim = first.NextClaim(At(0));
  store.Write(*claim);
  DutyLease again(InstanceId("a"), Incarnation("a-2"), kDuration);
  again.ObserveRow(store.row(), store.version(), At(100));
  BOOST_TEST(!again.HoldsFor(Millis(0), At(100)));
  BOOST_TEST(!again.NextClaim(At(3000)).has_value());
}

enum class ClaimFault { kNone, kResponseLost, kRequestLost, kWriteDelayed };

struct Action {
  int instance = 0;
  int gap = 0;
  ClaimFault fault = ClaimFault::kNone;
  bool reads_first = true;
};

// Guards against two holders at one moment and against tokens that do not grow,
// with lost answers, late writes and instances that do not read in between.
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
          rc::gen::set(&Action::reads_first, rc::gen::arbitrary<bool>())));
  FakeLeaseStore store;
  std::vector<DutyLease> leases;
  leases.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i)
    leases.push_back(MakeLease(std::to_string(i)));
  std::vector<DutyLease::Claim> late;
  std::int64_t now = 0;
  FencingToken newest;
  for (const Action& action : actions) {
    now += action.gap;
    DutyLease& lease = leases[static_cast<std::size_t>(action.instance)];
    if (!late.empty() && action.gap % 3 == 0) {
      store.Write(late.back());
      late.pop_back();
    }
    if (action.reads_first)
      lease.ObserveRow(store.row(), store.version(), At(now));
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
        lease.OnCommitted(*claim, *version, At(now));
      else
        lease.OnConflict(*claim);
    }
    int holders = 0;
    for (const DutyLease& one : leases)
      holders += one.HoldsFor(Millis(0), At(now)) ? 1 : 0;
    RC_ASSERT(holders <= 1);
    if (lease.HoldsFor(Millis(0), At(now))) {
      RC_ASSERT(lease.token() >= newest);
      newest = lease.token();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
