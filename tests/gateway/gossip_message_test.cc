#include "gateway/replication/gossip_message.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bamboomount {
namespace {

GossipMessage MakeMessage() {
  GossipMessage message;
  message.instance = InstanceId("a");
  message.sequence = 7;
  message.tables[1] = {RowVersion(3),
                       {StoreEra(2), RowVersion(5)},
                       Millis(99),
                       0xffff'ffff'ffff'fff0};
  message.member_status = {Millis(1'700'000'000'123), false};
  message.store_recovery_time = Millis(44);
  message.holder_statement =
      HolderStatement{InstanceId("h"), FencingToken(9), Millis(120)};
  message.loads = {{BackendId("e"), {1, 2000, 500, 3, 4}}};
  message.demand = {{PoolId("p"), Tier(2), CustomerId("mill"), 0.25},
                    {PoolId("q"), Tier(0), CustomerId(), 12.5}};
  message.unreachable = {{BackendId("u"), Millis(300)}};
  message.ejected = {{BackendId("x"), Millis(250)}};
  message.usage_update = {Incarnation("a-1"),
                          {message.instance,
                           WindowNumber(6),
                           {{WindowNumber(6), {{CustomerId("mill"), 3}}},
                            {WindowNumber(7), {{CustomerId("kennel"), 5}}}}},
                          true};
  message.usage_sealed_through = WindowNumber(5);
  message.part_evidence = {
      {PromptPartId(0xffff'ffff'ffff'fff1),
       {{BackendId("e"), Millis(30)}, {BackendId("f"), Millis(20)}},
       std::nullopt},
      {PromptPartId(2), {}, Millis(40)}};
  message.heartbeats = {{0xffff'fff0, Millis(150)}, {1, Millis(0)}};
  message.usage_receipt =
      UsageReceipt{Incarnation("b-1"), FencingToken(9), WindowNumber(6)};
  return message;
}

BOOST_AUTO_TEST_SUITE(gossip_message)

// Guards against an encoder and a decoder that disagree on the position or type
// of a field, so that a value is read as another one.
BOOST_AUTO_TEST_CASE(a_message_round_trips) {
  const GossipMessage message = MakeMessage();
  const auto bytes = EncodeGossipMessage(message);
  const auto read = DecodeGossipMessage(bytes.data(), bytes.size());
  BOOST_TEST(read.value().instance == message.instance);
  BOOST_TEST(read.value().sequence == 7U);
  const ReplicaStatus& table = read.value().tables[1];
  BOOST_TEST((table.revision == RowVersion(3)));
  BOOST_TEST((table.position == TablePosition{StoreEra(2), RowVersion(5)}));
  BOOST_TEST(table.confirmed.count() == 99);
  BOOST_TEST(table.digest == 0xffff'ffff'ffff'fff0);
  BOOST_TEST(read.value().member_status.wall_offset->count() ==
             1'700'000'000'123);
  BOOST_TEST(!read.value().member_status.store_reachable);
  BOOST_TEST(read.value().store_recovery_time.count() == 44);
  BOOST_TEST((read.value().holder_statement->token == FencingToken(9)));
  BOOST_TEST(read.value().holder_statement->age.count() == 120);
  const auto& demand = *read.value().demand;
  BOOST_TEST(demand.size() == 2U);
  BOOST_TEST((demand[0].pool == PoolId("p")));
  BOOST_TEST((demand[0].tier == Tier(2)));
  BOOST_TEST((demand[0].customer == CustomerId("mill")));
  BOOST_TEST(demand[0].servers == 0.25);
  BOOST_TEST(demand[1].servers == 12.5);
  BOOST_TEST((read.value().unreachable[0].id == BackendId("u")));
  BOOST_TEST(read.value().unreachable[0].age.count() == 300);
  const BackendLoad& load = read.value().loads->at(BackendId("e"));
  BOOST_TEST(load.requests == 1);
  BOOST_TEST(load.pending_prefill_tokens == 2000);
  BOOST_TEST(load.urgent_prefill_tokens == 500);
  BOOST_TEST(load.generating == 3);
  BOOST_TEST(load.long_answers == 4);
  BOOST_REQUIRE(read.value().ejected.size() == 1U);
  BOOST_TEST(read.value().ejected.front().id == BackendId("x"));
  BOOST_TEST(read.value().ejected.front().remaining.count() == 250);
  const UsageUpdate& update = *read.value().usage_update;
  BOOST_TEST((update.incarnation == Incarnation("a-1")));
  BOOST_TEST((update.usage.instance == message.instance));
  BOOST_TEST((update.usage.complete_through == WindowNumber(6)));
  BOOST_TEST((update.usage.windows == message.usage_update->usage.windows));
  BOOST_TEST(update.needs_receipt);
  BOOST_TEST(read.value().usage_sealed_through == WindowNumber(5));
  BOOST_REQUIRE(read.value().part_evidence.size() == 2U);
  const PartEvidence& suspected = read.value().part_evidence.front();
  BOOST_TEST((suspected.part == PromptPartId(0xffff'ffff'ffff'fff1)));
  BOOST_REQUIRE(suspected.crashes.size() == 2U);
  BOOST_TEST(suspected.crashes.back().server == BackendId("f"));
  BOOST_TEST(suspected.crashes.back().age.count() == 20);
  BOOST_TEST(!suspected.served_age);
  BOOST_TEST(read.value().part_evidence.back().served_age->count() == 40);
  BOOST_REQUIRE(read.value().heartbeats.size() == 2U);
  BOOST_TEST(read.value().heartbeats.front().instance_hash == 0xffff'fff0);
  BOOST_TEST(read.value().heartbeats.front().age.count() == 150);
  const UsageReceipt& receipt = *read.value().usage_receipt;
  BOOST_TEST(receipt.incarnation == Incarnation("b-1"));
  BOOST_TEST(receipt.token == FencingToken(9));
  BOOST_TEST(receipt.complete_through == WindowNumber(6));
}

// Guards against an absent optional field that is decoded as a value: a message
// without loads would be taken for "no load".
BOOST_AUTO_TEST_CASE(optional_fields_may_be_absent) {
  GossipMessage message = MakeMessage();
  message.loads.reset();
  message.usage_update.reset();
  message.holder_statement.reset();
  message.usage_receipt.reset();
  message.member_status.wall_offset.reset();
  const auto bytes = EncodeGossipMessage(message);
  const auto read = DecodeGossipMessage(bytes.data(), bytes.size());
  BOOST_TEST(!read.value().loads.has_value());
  BOOST_TEST(!read.value().usage_update.has_value());
  BOOST_TEST(!read.value().holder_statement.has_value());
  BOOST_TEST(!read.value().usage_receipt.has_value());
  BOOST_TEST(!read.value().member_status.wall_offset.has_value());
}

// Guards against a process that is ended by an exception when a datagram is
// malformed, for example truncated or from another program.
BOOST_AUTO_TEST_CASE(truncated_messages_are_rejected) {
  const auto bytes = EncodeGossipMessage(MakeMessage());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!DecodeGossipMessage(bytes.data(), size));
}

// Guards against a number whose conversion to an integer is undefined.
BOOST_AUTO_TEST_CASE(numbers_that_are_not_whole_are_rejected) {
  auto bytes = EncodeGossipMessage(MakeMessage());
  // The sequence number, behind the array of 16 and the text "a".
  constexpr std::ptrdiff_t kSequence = 5;
  constexpr std::array<std::uint8_t, 9> kHugeFloat{0xcb, 0x7e, 0x37, 0xe4, 0x3c,
                                                   0x88, 0x00, 0x75, 0x9c};
  BOOST_TEST(bytes.at(kSequence) == 7);
  bytes.erase(bytes.begin() + kSequence);
  bytes.insert(bytes.begin() + kSequence, kHugeFloat.begin(), kHugeFloat.end());
  BOOST_TEST(!DecodeGossipMessage(bytes.data(), bytes.size()));
}

// Guards against a datagram that ends the process: the parser calls itself for
// each level, and the stack has room for fewer levels than a datagram.
BOOST_AUTO_TEST_CASE(deeply_nested_messages_are_rejected) {
  constexpr std::size_t kDatagramBytes = 32'768;
  constexpr std::uint8_t kArrayOfOne = 0x91;
  constexpr std::uint8_t kMapOfOne = 0x81;
  for (const std::uint8_t level : {kArrayOfOne, kMapOfOne}) {
    const std::vector<std::uint8_t> bytes(kDatagramBytes, level);
    BOOST_TEST(!DecodeGossipMessage(bytes.data(), bytes.size()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
