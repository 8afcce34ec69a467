#include "router/internal/event_stream_splitter.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace bamboomount {
namespace {

// The events of `stream` when it arrives in pieces of `piece_size` bytes.
std::vector<std::string> Split(const std::string& stream,
                               std::size_t piece_size) {
  EventStreamSplitter splitter;
  std::vector<std::string> events;
  for (std::size_t at = 0; at < stream.size(); at += piece_size) {
    splitter.Append(std::string_view(stream).substr(at, piece_size));
    while (const auto event = splitter.NextEvent())
      events.push_back(*event);
  }
  BOOST_TEST(splitter.buffered_bytes() == 0U);
  return events;
}

BOOST_AUTO_TEST_SUITE(event_stream_splitter)

// Guards against events that are joined because a blank line arrives in two
// pieces.
BOOST_AUTO_TEST_CASE(events_end_at_blank_lines_in_any_pieces) {
  const std::vector<std::string> events = {"data: a\n\n", "data: b\r\n\r\n",
                                           "id: 1\ndata: c\n\n", "\n\n",
                                           "data: d\r\ndata: e\r\n\r\n"};
  std::string stream;
  for (const std::string& event : events)
    stream += event;
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    BOOST_TEST_CONTEXT(size) {
      BOOST_TEST(Split(stream, size) == events,
                 boost::test_tools::per_element());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
