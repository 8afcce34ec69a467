#include <boost/test/unit_test.hpp>

#include "gateway/control/peer_exchange.h"

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(peer_news)

// Guards against figures that change their meaning on the way.
BOOST_AUTO_TEST_CASE(news_reads_back_as_it_was_written) {
  const PeerNews news{InstanceId("a"),
                      7,
                      ConfigVersion(3),
                      Millis(99),
                      {{BackendId("e"), {1, 2000, 3, 4}}}};
  const auto bytes = EncodePeerNews(news);
  const auto read = DecodePeerNews(bytes.data(), bytes.size());
  BOOST_TEST(read.value().instance == news.instance);
  BOOST_TEST(read.value().sequence == 7U);
  BOOST_TEST((read.value().config_version == ConfigVersion(3)));
  BOOST_TEST(read.value().config_confirmed.count() == 99);
  const BackendLoad& load = read.value().loads.at(BackendId("e"));
  BOOST_TEST(load.requests == 1);
  BOOST_TEST(load.unread_tokens == 2000);
  BOOST_TEST(load.generating == 3);
  BOOST_TEST(load.long_answers == 4);
}

// Guards against an instance that ends on bytes of a foreign program.
BOOST_AUTO_TEST_CASE(foreign_bytes_are_refused) {
  const auto bytes = EncodePeerNews({InstanceId("a"), 7, {}, {}, {}});
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!DecodePeerNews(bytes.data(), size));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
