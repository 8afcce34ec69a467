#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "gateway/streams/pool_version_history.h"
#include "gateway/streams/stream_origin_table.h"
#include "instants.h"

namespace bamboomount {
namespace {

const PoolId kPool("engines");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
constexpr int kLifetimeMs =
    static_cast<int>(StreamOriginTable::kStreamLifetime.count());

BOOST_AUTO_TEST_SUITE(stream_origin)

// Guards against a record that is replaced when a later attempt begins at
// another version, and against records that are kept for ever.
BOOST_AUTO_TEST_CASE(the_first_origin_stands_until_the_stream_has_ended) {
  StreamOriginTable table;
  const RequestId stream("s");
  table.Record(stream, {kPool, kOld}, At(0));
  table.Record(stream, {kPool, kNew}, At(1000));
  BOOST_TEST((table.Find(stream, At(1000)) == StreamOrigin{kPool, kOld}));
  BOOST_TEST(table.Find(stream, At(kLifetimeMs + 999)).has_value());
  BOOST_TEST(!table.Find(stream, At(kLifetimeMs + 1000)).has_value());
  table.Record(RequestId("t"), {kPool, kNew}, At(kLifetimeMs + 1000));
  BOOST_TEST(table.size() == 1U);
}

// Guards against callers that fill the memory by many streams, by long ids, or
// by resumes of one stream.
BOOST_AUTO_TEST_CASE(callers_cannot_fill_the_table) {
  constexpr auto kMax =
      static_cast<std::int64_t>(StreamOriginTable::kMaxRecords);
  StreamOriginTable table;
  table.Record(RequestId(std::string(StreamOriginTable::kMaxIdBytes + 1, 'x')),
               {kPool, kOld}, At(0));
  BOOST_TEST(table.size() == 0U);
  for (std::int64_t i = 0; i <= kMax; ++i)
    table.Record(RequestId(std::to_string(i)), {kPool, kOld}, At(0));
  BOOST_TEST(table.size() == StreamOriginTable::kMaxRecords);
  BOOST_TEST(!table.Find(RequestId("0"), At(0)).has_value());
  BOOST_TEST(table.Find(RequestId(std::to_string(kMax)), At(0)).has_value());
  for (std::int64_t i = 0; i < 2 * kMax; ++i)
    table.Record(RequestId("one"), {kPool, kOld}, At(i));
  BOOST_TEST(table.Find(RequestId("one"), At(2 * kMax)).has_value());
  BOOST_TEST(table.size() == 1U);
}

// Guards against an instance that answers for the time before it started, or
// for a gap in the changes that it has seen.
BOOST_AUTO_TEST_CASE(nothing_is_known_of_the_time_before_a_gap) {
  PoolVersionHistory history;
  history.SetListed({{kPool, {kOld}}}, At(0));
  BOOST_TEST(!history.OnlyVersion(kPool, At(kLifetimeMs)).has_value());
  history.RecordGap(At(0));
  BOOST_TEST(!history.OnlyVersion(kPool, At(kLifetimeMs - 1)).has_value());
  BOOST_TEST((history.OnlyVersion(kPool, At(kLifetimeMs)) == kOld));
  history.RecordGap(At(kLifetimeMs));
  BOOST_TEST(!history.OnlyVersion(kPool, At(kLifetimeMs)).has_value());
}

// Guards against an instance that was suspended or cut off, and did not see a
// version that came and left meanwhile.
BOOST_AUTO_TEST_CASE(nothing_is_known_of_a_time_without_confirmation) {
  constexpr int kGapMs =
      static_cast<int>(PoolVersionHistory::kMaxUnconfirmed.count());
  PoolVersionHistory history;
  history.RecordGap(At(0));
  history.SetListed({{kPool, {kOld}}}, At(0));
  int now = 0;
  for (; now < kLifetimeMs; now += kGapMs)
    history.RecordConfirmed(At(now));
  BOOST_TEST((history.OnlyVersion(kPool, At(now)) == kOld));
  now += kGapMs;
  history.RecordConfirmed(At(now));
  BOOST_TEST(!history.OnlyVersion(kPool, At(now)).has_value());
}

// Guards against a stream that is joined from two versions because the servers
// of one of them have left the list.
BOOST_AUTO_TEST_CASE(a_version_that_left_counts_as_long_as_its_streams) {
  PoolVersionHistory history;
  history.RecordGap(At(0));
  history.SetListed({{kPool, {kOld}}}, At(0));
  const int replaced = 2 * kLifetimeMs;
  history.SetListed({{kPool, {kOld, kNew}}}, At(replaced));
  BOOST_TEST(!history.OnlyVersion(kPool, At(replaced)).has_value());
  history.SetListed({{kPool, {kNew}}}, At(replaced + 1000));
  const int forgotten = replaced + 1000 + kLifetimeMs;
  BOOST_TEST(!history.OnlyVersion(kPool, At(forgotten - 1)).has_value());
  BOOST_TEST((history.OnlyVersion(kPool, At(forgotten)) == kNew));
  history.SetListed({}, At(forgotten));
  BOOST_TEST((history.OnlyVersion(kPool, At(forgotten)) == kNew));
  BOOST_TEST(!history.OnlyVersion(PoolId("other"), At(forgotten)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
