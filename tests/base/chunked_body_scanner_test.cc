#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace bamboomount {
namespace {

using namespace std::string_view_literals;

// Scans the body, once as a whole and once byte by byte.
void CheckBody(std::string_view body, bool is_sound) {
  BOOST_TEST_CONTEXT(body) {
    ChunkedBodyScanner whole;
    whole.Scan(body);
    BOOST_TEST(whole.failed() == !is_sound);
    BOOST_TEST(whole.ended() == is_sound);
    ChunkedBodyScanner in_pieces;
    for (std::size_t i = 0; i < body.size(); ++i)
      in_pieces.Scan(body.substr(i, 1));
    BOOST_TEST(in_pieces.failed() == !is_sound);
    BOOST_TEST(in_pieces.ended() == is_sound);
  }
}

BOOST_AUTO_TEST_SUITE(chunked_body_scanner)

BOOST_AUTO_TEST_CASE(bodies_by_the_letter_are_accepted) {
  for (const std::string_view body :
       {"0\r\n\r\n"sv, "2\r\nxx\r\n0\r\n\r\n"sv, "002\r\nxx\r\n00\r\n\r\n"sv,
        "A\r\n0123\r\n6789\r\n0\r\n\r\n"sv, "1;a=b\r\nx\r\n0;c\r\n\r\n"sv,
        "1;a=\"b c\"\r\nx\r\n0\r\nT: v\r\nU:\r\n\r\n"sv,
        "1 ;a\r\nx\r\n0\r\n\r\n"sv})
    CheckBody(body, true);
}

// Guards against framing that two recipients read differently, so that one of
// them takes a part of the body for another message.
BOOST_AUTO_TEST_CASE(framing_that_readers_understand_differently_is_rejected) {
  for (const std::string_view body :
       {"0\r\nT: v\r\n w\r\n\r\n"sv, "0\r\n T: v\r\n\r\n"sv,
        "0\r\nT: a\nb\r\n\r\n"sv, "0\r\nT: a\rb\r\n\r\n"sv,
        "0\r\nT: v\n\r\n\r\n"sv, "0\r\nT : v\r\n\r\n"sv, "0\r\nT v\r\n\r\n"sv,
        "0\r\n: v\r\n\r\n"sv, "0\r\nT: a\0b\r\n\r\n"sv, "1\nx\r\n0\r\n\r\n"sv,
        "1;a\nb\r\nx\r\n0\r\n\r\n"sv, "1;a\rb\r\nx\r\n0\r\n\r\n"sv,
        "1 \r\nx\r\n0\r\n\r\n"sv, " 1\r\nx\r\n0\r\n\r\n"sv,
        "+1\r\nx\r\n0\r\n\r\n"sv, "0x1\r\nx\r\n0\r\n\r\n"sv,
        "1\r\nxy\r\n0\r\n\r\n"sv, "1\r\nx\n0\r\n\r\n"sv,
        "10000000000000001\r\nx\r\n0\r\n\r\n"sv})
    CheckBody(body, false);
}

// Guards against bytes of the next message that are taken for trailers.
BOOST_AUTO_TEST_CASE(the_body_ends_with_its_empty_line) {
  const std::string body = "1\r\nx\r\n0\r\n\r\n";
  ChunkedBodyScanner scanner;
  BOOST_TEST(scanner.Scan(body + "GET / HTTP/1.1\r\n\r\n") == body.size());
  BOOST_TEST(scanner.ended());
  BOOST_TEST(scanner.Scan("0") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
