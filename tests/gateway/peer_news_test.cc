#include "gateway/replication/peer_news.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

PeerNews MakeNews() {
  PeerNews news;
  news.instance = InstanceId("a");
  news.sequence = 7;
  news.tables[1] = {RowVersion(3), RowVersion(5), Millis(99),
                    0xffff'ffff'ffff'fff0};
  news.signs = {Millis(1'700'000'000'123), false};
  news.store_back = Millis(44);
  news.holder = HolderStatement{InstanceId("h"), FencingToken(9), Millis(120)};
  news.loads = {{BackendId("e"), {1, 2000, 500, 3, 4}}};
  news.ejected = {{BackendId("x"), Millis(250)}};
  news.usage = {Incarnation("a-1"),
                {news.instance,
                 WindowNumber(6),
                 {{WindowNumber(6), {{CustomerId("mill"), 3}}},
                  {WindowNumber(7), {{CustomerId("kennel"), 5}}}}}};
  return news;
}

BOOST_AUTO_TEST_SUITE(peer_news)

// Guards against figures that change their meaning on the way.
BOOST_AUTO_TEST_CASE(news_reads_back_as_it_was_written) {
  const PeerNews news = MakeNews();
  const auto bytes = EncodePeerNews(news);
  const auto read = DecodePeerNews(bytes.data(), bytes.size());
  BOOST_TEST(read.value().instance == news.instance);
  BOOST_TEST(read.value().sequence == 7U);
  const TableNews& table = read.value().tables[1];
  BOOST_TEST((table.revision == RowVersion(3)));
  BOOST_TEST((table.position == RowVersion(5)));
  BOOST_TEST(table.confirmed.count() == 99);
  BOOST_TEST(table.digest == 0xffff'ffff'ffff'fff0);
  BOOST_TEST(read.value().signs.wall_offset->count() == 1'700'000'000'123);
  BOOST_TEST(!read.value().signs.store_reachable);
  BOOST_TEST(read.value().store_back.count() == 44);
  BOOST_TEST((read.value().holder->token == FencingToken(9)));
  BOOST_TEST(read.value().holder->age.count() == 120);
  const BackendLoad& load = read.value().loads->at(BackendId("e"));
  BOOST_TEST(load.requests == 1);
  BOOST_TEST(load.pending_prefill_tokens == 2000);
  BOOST_TEST(load.urgent_prefill_tokens == 500);
  BOOST_TEST(load.generating == 3);
  BOOST_TEST(load.long_answers == 4);
  BOOST_REQUIRE(read.value().ejected.size() == 1U);
  BOOST_TEST(read.value().ejected.front().id == BackendId("x"));
  BOOST_TEST(read.value().ejected.front().remaining.count() == 250);
  const UsageStatement& usage = *read.value().usage;
  BOOST_TEST((usage.incarnation == Incarnation("a-1")));
  BOOST_TEST((usage.part.instance == news.instance));
  BOOST_TEST((usage.part.complete_through == WindowNumber(6)));
  BOOST_TEST((usage.part.windows == news.usage->part.windows));
}

// Guards against news without loads that is taken for "no load".
BOOST_AUTO_TEST_CASE(news_may_say_nothing_of_loads_and_holder) {
  PeerNews news = MakeNews();
  news.loads.reset();
  news.usage.reset();
  news.holder.reset();
  news.signs.wall_offset.reset();
  const auto bytes = EncodePeerNews(news);
  const auto read = DecodePeerNews(bytes.data(), bytes.size());
  BOOST_TEST(!read.value().loads.has_value());
  BOOST_TEST(!read.value().usage.has_value());
  BOOST_TEST(!read.value().holder.has_value());
  BOOST_TEST(!read.value().signs.wall_offset.has_value());
}

// Guards against an instance that ends on bytes of a foreign program.
BOOST_AUTO_TEST_CASE(foreign_bytes_are_refused) {
  const auto bytes = EncodePeerNews(MakeNews());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!DecodePeerNews(bytes.data(), size));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
