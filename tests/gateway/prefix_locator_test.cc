#include "gateway/placement/prefix_locator.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "instants.h"
#include "placement_fixture.h"

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(prefix_locator)

// Guards against instances that look for a subject at different engines.
BOOST_AUTO_TEST_CASE(server_ranking_does_not_depend_on_list_order) {
  auto servers = MakeServers(9);
  const PromptShape prompt = Prompt(7, 1);
  const auto ranked = PrefixLocator::RankServers(Pointers(servers), prompt, 3);
  BOOST_REQUIRE(ranked.size() == 3U);
  std::vector<BackendServer> reversed(servers.rbegin(), servers.rend());
  const auto again = PrefixLocator::RankServers(Pointers(reversed), prompt, 3);
  for (std::size_t i = 0; i < ranked.size(); ++i)
    BOOST_TEST(ranked[i]->id == again[i]->id);
  BOOST_TEST(
      PrefixLocator::RankServers(Pointers(servers), PromptShape(), 3).empty());
}

// Pattern: servers that were ordered take over subjects. Guards against shared
// parts that are read again by an engine that has just started, while the
// engine that was their home still holds them.
BOOST_AUTO_TEST_CASE(a_new_engine_copies_from_the_previous_home) {
  auto servers = MakeServers(9);
  const PromptShape prompt = Prompt(7, 1);
  const auto ranked = PrefixLocator::RankServers(Pointers(servers), prompt, 2);
  const PrefixLocator locator;
  BOOST_TEST(locator.HoldsPrefix(*ranked[0], Pointers(servers), prompt, At(0)));
  for (BackendServer& server : servers) {
    if (server.id == ranked[0]->id)
      server.listed_since = At(0);
  }
  const Instant soon = At(100);
  BOOST_TEST(!locator.HoldsPrefix(*ranked[0], Pointers(servers), prompt, soon));
  BOOST_TEST(
      locator.FindPrefixHolder(*ranked[0], Pointers(servers), prompt, soon)
          ->id == ranked[1]->id);
  const Instant later = At(0) + PrefixLocator::kWarmUpTime;
  BOOST_TEST(locator.HoldsPrefix(*ranked[0], Pointers(servers), prompt, later));
}

// Pattern: a zone is taken away on short notice. Guards against shared parts
// that are lost with it: as long as the leaving engine is listed, the next one
// copies from it.
BOOST_AUTO_TEST_CASE(a_draining_home_is_a_copy_source) {
  auto servers = MakeServers(9);
  const PromptShape prompt = Prompt(7, 1);
  const auto ranked = PrefixLocator::RankServers(Pointers(servers), prompt, 2);
  for (BackendServer& server : servers)
    server.draining = server.id == ranked[0]->id;
  const PrefixLocator locator;
  BOOST_TEST(
      !locator.HoldsPrefix(*ranked[1], Pointers(servers), prompt, At(0)));
  BOOST_TEST(
      locator.FindPrefixHolder(*ranked[1], Pointers(servers), prompt, At(0))
          ->id == ranked[0]->id);
}

// Guards against an instance that forgets where it sent a subject itself, and
// against one that remembers for ever.
BOOST_AUTO_TEST_CASE(recently_sent_prefixes_are_remembered) {
  auto servers = MakeServers(9);
  const PromptShape prompt = Prompt(7, 1);
  const auto ranked = PrefixLocator::RankServers(Pointers(servers), prompt, 9);
  PrefixLocator locator;
  locator.RecordPrefixSent(*ranked[5], prompt, At(0));
  BOOST_TEST(
      locator.HoldsPrefix(*ranked[5], Pointers(servers), prompt, At(1000)));
  BOOST_TEST(
      locator.FindPrefixHolder(*ranked[3], Pointers(servers), prompt, At(1000))
          ->id == ranked[5]->id);
  const Instant late = At(0) + PrefixLocator::kPrefixLifetime;
  BOOST_TEST(!locator.HoldsPrefix(*ranked[5], Pointers(servers), prompt, late));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
