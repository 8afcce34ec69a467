#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace bamboomount {
namespace {

using namespace std::string_view_literals;

struct Example {
  std::string_view bytes;
  HeadVerdict verdict;
};

HeadVerdict ScanByteByByte(std::string_view bytes) {
  HttpHeadScanner scanner;
  HeadVerdict verdict = HeadVerdict::kIncomplete;
  for (std::size_t size = 1;
       size <= bytes.size() && verdict == HeadVerdict::kIncomplete; ++size)
    verdict = scanner.Scan(bytes.substr(0, size));
  return verdict;
}

BOOST_AUTO_TEST_SUITE(http_head_scanner)

// Guards against request smuggling by heads that two parsers read differently.
BOOST_AUTO_TEST_CASE(heads_that_parsers_read_differently_are_rejected) {
  const std::vector<Example> examples{
      {"GET / HTTP/1.1\r\nA: b\r\n\r\nnext", HeadVerdict::kComplete},
      {"GET / HTTP/1.1\r\nA: b c\td\r\n\r\n", HeadVerdict::kComplete},
      {"GET / HTTP/1.1\r\nA: b\r\n", HeadVerdict::kIncomplete},
      {"GET / HTTP/1.1\r\nA:\r\n b\r\n\r\n", HeadVerdict::kFoldedLine},
      {"GET / HTTP/1.1\r\nA:\r\n\tb\r\n\r\n", HeadVerdict::kFoldedLine},
      {"GET / HTTP/1.1\r\n A: b\r\n\r\n", HeadVerdict::kFoldedLine},
      {"GET / HTTP/1.1\nA: b\r\n\r\n", HeadVerdict::kBareLineEnd},
      {"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", HeadVerdict::kBareLineEnd},
      {"GET / HTTP/1.1\r\nA: b\r\n\n", HeadVerdict::kBareLineEnd},
      {"GET / HTTP/1.1\r\nA: b\r\r\n\r\n", HeadVerdict::kBareLineEnd},
      {"GET / HTTP/1.1\r\nA: b\0c\r\n\r\n"sv, HeadVerdict::kNulByte},
  };
  for (const Example& example : examples) {
    BOOST_TEST_CONTEXT(example.bytes) {
      HttpHeadScanner scanner;
      BOOST_CHECK(scanner.Scan(example.bytes) == example.verdict);
      BOOST_CHECK(ScanByteByByte(example.bytes) == example.verdict);
    }
  }
}

// Guards against taking bytes of the body for a part of the head.
BOOST_AUTO_TEST_CASE(the_head_ends_with_its_empty_line) {
  const std::string head = "GET / HTTP/1.1\r\nA: b\r\n\r\n";
  HttpHeadScanner scanner;
  scanner.Scan(head + " folded\r\n\r\n");
  BOOST_TEST(scanner.head_size() == head.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
