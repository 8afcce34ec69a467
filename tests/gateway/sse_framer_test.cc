#include "gateway/forwarding/sse_framer.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

const std::string kStream =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

BOOST_AUTO_TEST_SUITE(sse_framer)

// Guards against half an event joined to one of another server.
BOOST_AUTO_TEST_CASE(an_incomplete_event_is_held_back) {
  SseFramer framer;
  BOOST_TEST(framer.Add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(!framer.at_boundary());
  BOOST_TEST(framer.last_event_id() == "1");
  framer.DropPartialEvent();
  BOOST_TEST(framer.Add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(framer.last_event_id() == "2");
}

// Guards against bytes that are lost, doubled or reordered by the way in which
// the stream is cut into pieces.
RC_BOOST_PROP(any_chunking_gives_the_same_bytes, ()) {
  SseFramer framer;
  std::string forwarded;
  std::size_t position = 0;
  while (position < kStream.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 12);
    forwarded += framer.Add(kStream.substr(position, size));
    position += size;
    RC_ASSERT(kStream.compare(0, forwarded.size(), forwarded) == 0);
  }
  RC_ASSERT(forwarded == kStream);
  RC_ASSERT(framer.last_event_id() == "3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
