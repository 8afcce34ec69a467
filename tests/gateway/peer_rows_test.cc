#include "gateway/replication/peer_rows.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "gateway/replication/compression.h"

namespace bamboomount {
namespace {

constexpr std::size_t kMaxBytes = 1'000'000;
constexpr TablePosition At(std::uint64_t era, std::uint64_t version) {
  return {StoreEra(era), RowVersion(version)};
}

const PeerRowsQuery kQuery{"op", At(2, 1)};

PeerRows MakeRows(std::string value, RowVersion version) {
  PeerRows rows;
  rows.rows.push_back({"op", "config", std::move(value), version, false});
  rows.rows.push_back({"op", "old", "", version, true});
  rows.status.revision = version;
  rows.status.position = {StoreEra(2), version};
  return rows;
}

// Text with the structure of a configuration and different names.
std::string RoutesText(int count) {
  std::ostringstream text;
  for (int i = 0; i < count; ++i)
    text << R"({"name":"r-)" << i * 7919
         << R"(","host":"h.example","prefix":"/p)" << i * 104729
         << R"(/","kind":"safe","timeout_ms":5000},)";
  return text.str();
}

BOOST_AUTO_TEST_SUITE(peer_rows)

RC_BOOST_PROP(rows_keep_their_values, (const std::string& value)) {
  const PeerRows sent = MakeRows(value, RowVersion(3));
  const auto received =
      DecodePeerRows("op", PeerRowsEncoder().Encode(kQuery, sent));
  RC_ASSERT(bool(received));
  RC_ASSERT(received.value().rows.size() == 2U);
  RC_ASSERT(received.value().rows[0].value == value);
  RC_ASSERT(received.value().rows[1].deleted);
}

// Guards against a configuration that fills a slow link for seconds: instances
// with links of 10 Mbit/s had no room for their callers.
BOOST_AUTO_TEST_CASE(a_configuration_of_many_routes_is_sent_in_a_fifth) {
  constexpr int kRoutes = 4200;
  constexpr std::size_t kMinRatio = 5;
  const std::string value = RoutesText(kRoutes);
  const std::string sent =
      PeerRowsEncoder().Encode(kQuery, MakeRows(value, RowVersion(3)));
  BOOST_TEST(sent.size() * kMinRatio < value.size());
}

// Guards against kept rows that are sent for another version or query.
BOOST_AUTO_TEST_CASE(changed_rows_are_encoded_again) {
  PeerRowsEncoder encoder;
  encoder.Encode(kQuery, MakeRows("first", RowVersion(3)));
  const std::string second =
      encoder.Encode(kQuery, MakeRows("second", RowVersion(4)));
  BOOST_TEST(DecodePeerRows("op", second).value().rows[0].value == "second");
  const PeerRows since{false, {}, MakeRows("", RowVersion(4)).status};
  const std::string third = encoder.Encode({"op", At(2, 4)}, since);
  BOOST_TEST(DecodePeerRows("op", third).value().rows.empty());
}

// Guards against kept rows of before a restore of the store, which gives out
// the same versions again.
BOOST_AUTO_TEST_CASE(rows_of_another_era_are_encoded_again) {
  PeerRowsEncoder encoder;
  PeerRows rows = MakeRows("before", RowVersion(3));
  encoder.Encode(kQuery, rows);
  rows.rows[0].value = "after";
  rows.status.position = At(3, 3);
  const auto received = DecodePeerRows("op", encoder.Encode(kQuery, rows));
  BOOST_TEST(received.value().rows[0].value == "after");
  BOOST_TEST((received.value().status.position == At(3, 3)));
}

// Guards against a query that loses its era: the peer would answer with the
// changes since an equal version of another history.
BOOST_AUTO_TEST_CASE(a_query_keeps_its_position) {
  const auto query = DecodePeerRowsTarget(EncodePeerRowsTarget(kQuery));
  BOOST_TEST((query.value().after == kQuery.after));
  BOOST_TEST(query.value().table == "op");
  const auto before = DecodePeerRowsTarget("/peer/rows?table=op&after=4");
  BOOST_TEST((before.value().after == At(0, 4)));
}

// Guards against a message that makes the reader reserve memory without bound,
// or that ends the process.
BOOST_AUTO_TEST_CASE(malformed_frames_are_rejected) {
  const std::string frame = Compress(std::string(kMaxBytes, 'x'));
  BOOST_TEST(bool(Decompress(frame, kMaxBytes)));
  BOOST_TEST(!Decompress(frame, kMaxBytes - 1));
  BOOST_TEST(!Decompress(frame.substr(0, frame.size() / 2), kMaxBytes));
  BOOST_TEST(!Decompress("text", kMaxBytes));
  BOOST_TEST(!DecodePeerRows("op", "text"));
  constexpr char kArrayOfOne = '\x91';
  BOOST_TEST(!DecodePeerRows("op", std::string(kMaxBytes, kArrayOfOne)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
