#include "peer/message_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

SlotRequest MakeRequest() {
  SlotRequest request;
  request.request = RequestId("r1-1");
  request.class_id = ClassId("chat");
  request.tier = Tier(2);
  request.customer = CustomerId("kennel");
  request.share = 0.5;
  request.max_output_tokens = Tokens(100);
  request.prefix_hash = ~std::uint64_t{0};
  request.excluded = {BackendId("b1")};
  return request;
}

// One message of each kind.
std::vector<PeerMessage> Samples() {
  HeartbeatMessage heartbeat;
  heartbeat.self = {InstanceId("r1"),
                    "127.0.0.1:1",
                    Incarnation(7),
                    HeartbeatNumber(9),
                    PeerState::kLeaving,
                    ChangeSequence(3),
                    11,
                    {}};
  heartbeat.confirmation_age = Millis(12);
  heartbeat.sample = {heartbeat.self, heartbeat.self};
  const CellId cell("futter/0");
  const SlotAttempt attempt(4);
  const RequestId request("r1-1");
  return {
      heartbeat,
      ChangePushMessage{{{ChangeSequence(1), "{}"}}},
      ChangeFetchMessage{ChangeSequence(5)},
      EmergencyWithdrawalMessage{{KeyId("k1"), KeyId("k2")}},
      EmergencyFetchMessage{},
      SlotRequestMessage{cell, attempt, MakeRequest()},
      SlotAcceptedMessage{cell, attempt, request},
      SlotGrantMessage{cell, attempt, request, BackendId("b2")},
      SlotRefusalMessage{cell, attempt, request, true, ErrorCode::kNoBackend,
                         Millis(3)},
      SlotReleaseMessage{
          cell,
          attempt,
          request,
          {SlotEnd::kBackendFailed, Tokens(5), Millis(6), Millis(7)}},
      SlotCancelMessage{cell, attempt, request},
      SlotProgressMessage{{{cell, attempt, request, Tokens(8)}}},
      CellReportMessage{cell,
                        Incarnation(2),
                        {{attempt, MakeRequest(), BackendId("b1"), Tokens(1)}},
                        {{attempt, MakeRequest()}}},
      CellReportAcceptedMessage{cell, Incarnation(2)},
      CellReportRequestMessage{cell, Incarnation(2)},
      LeavingMessage{Incarnation(6)}};
}

BOOST_AUTO_TEST_SUITE(message_codec)

// A field that is lost on the way would, for example, give a request the wrong
// tier at the owner.
BOOST_AUTO_TEST_CASE(every_kind_of_message_survives_a_round_trip) {
  BOOST_TEST(Samples().size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : Samples()) {
    const auto bytes = EncodeMessage(InstanceId("r1"), message);
    const auto decoded = DecodeMessage(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().sender == InstanceId("r1"));
    BOOST_TEST(decoded.value().message.index() == message.index());
    BOOST_TEST(EncodeMessage(InstanceId("r1"), decoded.value().message) ==
               bytes);
  }
}

// A truncated message must not be taken for a shorter valid one.
BOOST_AUTO_TEST_CASE(truncated_messages_are_rejected) {
  for (const PeerMessage& message : Samples()) {
    const auto bytes = EncodeMessage(InstanceId("r1"), message);
    for (std::size_t size = 0; size < bytes.size(); ++size)
      BOOST_TEST(!DecodeMessage(bytes.substr(0, size)).has_value());
    BOOST_TEST(!DecodeMessage(bytes + "x").has_value());
  }
}

// A damaged or hostile message must not end the process.
BOOST_AUTO_TEST_CASE(damaged_messages_do_not_crash_the_decoder) {
  const auto samples = Samples();
  BOOST_TEST(rc::check("damaged bytes", [&samples] {
    const auto index = *rc::gen::inRange<std::size_t>(0, samples.size());
    auto bytes = EncodeMessage(InstanceId("r1"), samples[index]);
    const auto edits = *rc::gen::inRange(1, 8);
    for (int i = 0; i < edits; ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    const auto decoded = DecodeMessage(bytes);
    // RC_ASSERT evaluates both sides of ||.
    const bool refused = !decoded.has_value();
    if (refused)
      RC_ASSERT(decoded.error().code == ErrorCode::kBadRequest);
  }));
  BOOST_TEST(rc::check("random bytes", [](const std::string& bytes) {
    RC_ASSERT(!DecodeMessage(bytes).has_value());
  }));
}

// A huge announced length must not make the receiver allocate it.
BOOST_AUTO_TEST_CASE(declared_lengths_beyond_the_limits_are_rejected) {
  const std::string array_of_4_billion("\xdd\xff\xff\xff\xff", 5);
  const std::string text_of_4_billion("\xdb\xff\xff\xff\xff", 5);
  BOOST_TEST(!DecodeMessage(array_of_4_billion).has_value());
  BOOST_TEST(!DecodeMessage(text_of_4_billion).has_value());
  BOOST_TEST(!DecodeMessage(std::string(100000, '\x91')).has_value());
}

// Values out of range would overflow clocks or index past an enumeration.
BOOST_AUTO_TEST_CASE(values_out_of_range_are_rejected) {
  SlotRefusalMessage refusal;
  refusal.retry_after = Millis(-1);
  BOOST_TEST(
      !DecodeMessage(EncodeMessage(InstanceId("r1"), refusal)).has_value());
  refusal.retry_after = Millis::max();
  BOOST_TEST(
      !DecodeMessage(EncodeMessage(InstanceId("r1"), refusal)).has_value());
  SlotRequestMessage request{CellId("c"), SlotAttempt(1), MakeRequest()};
  request.request.share = std::numeric_limits<double>::quiet_NaN();
  BOOST_TEST(
      !DecodeMessage(EncodeMessage(InstanceId("r1"), request)).has_value());
  BOOST_TEST(!DecodeMessage(EncodeMessage(InstanceId(), LeavingMessage{}))
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
