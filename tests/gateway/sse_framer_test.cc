#include "gateway/forwarding/sse_framer.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace bamboomount {
namespace {

const std::string kStream =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

BOOST_AUTO_TEST_SUITE(sse_framer)

// Guards against a corrupted event: if the first server fails in the middle of
// an event, its incomplete bytes must not be joined to an event of the next
// server.
BOOST_AUTO_TEST_CASE(an_incomplete_event_is_held_back) {
  SseFramer framer;
  BOOST_TEST(framer.Add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(!framer.at_boundary());
  BOOST_TEST(framer.last_event_id() == "1");
  framer.DropPartialEvent();
  BOOST_TEST(framer.Add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(framer.last_event_id() == "2");
}

// Guards against bytes that are lost, duplicated or reordered depending on how
// the stream is split into reads.
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

// Guards against a stream that is resumed from its beginning because a server
// spoilt one event, and against an id that ends the process when it is put into
// the head of the next request.
BOOST_AUTO_TEST_CASE(a_spoilt_id_does_not_change_the_place) {
  constexpr std::size_t kLongId = 66'000;
  for (const std::string& spoilt :
       {std::string(), std::string("1"), std::string("2"), std::string("-3"),
        std::string("x"), std::string("3\x01"), std::string("\xc3\xa9"),
        std::string("3 4"), std::string(kLongId, '7'),
        std::string(kLongId, 'x')}) {
    SseFramer framer;
    framer.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    framer.Add("id: " + spoilt + "\ndata: c\n\n");
    BOOST_TEST(framer.last_event_id() == "2");
    framer.Add("id: 4\ndata: d\n\n");
    BOOST_TEST(framer.last_event_id() == "4");
  }
}

// Guards against a stream that begins with a spoilt event, or whose ids are no
// numbers, and that can't be resumed.
BOOST_AUTO_TEST_CASE(ids_that_are_no_numbers_are_kept_as_they_are) {
  SseFramer framer;
  framer.Add("id: part-a\n\n");
  BOOST_TEST(framer.last_event_id() == "part-a");
  framer.Add("id: part-b\n\n");
  BOOST_TEST(framer.last_event_id() == "part-b");
  framer.Add("id: 7\n\n");
  BOOST_TEST(framer.last_event_id() == "7");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
