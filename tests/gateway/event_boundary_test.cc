#include "gateway/forwarding/event_boundary.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

const std::string kStream =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

BOOST_AUTO_TEST_SUITE(event_boundary)

// Guards against half an event joined to one of another server.
BOOST_AUTO_TEST_CASE(half_an_event_is_held_back) {
  EventBoundary events;
  BOOST_TEST(events.Add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(!events.at_boundary());
  BOOST_TEST(events.last_event_id() == "1");
  events.DropPartialEvent();
  BOOST_TEST(events.Add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(events.last_event_id() == "2");
}

// Guards against bytes that are lost, doubled or reordered by the way in which
// the stream is cut into pieces.
RC_BOOST_PROP(any_cut_into_pieces_gives_the_same_bytes, ()) {
  EventBoundary events;
  std::string passed_on;
  std::size_t position = 0;
  while (position < kStream.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    passed_on += events.Add(kStream.substr(position, size));
    position += size;
    RC_ASSERT(kStream.compare(0, passed_on.size(), passed_on) == 0);
  }
  RC_ASSERT(passed_on == kStream);
  RC_ASSERT(events.last_event_id() == "3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
