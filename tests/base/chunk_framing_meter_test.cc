#include <boost/test/unit_test.hpp>

#include "base/base.h"

namespace bamboomount {
namespace {

// Records chunks until the framing is out of proportion; returns their number,
// at most 100,000.
int CountAcceptedChunks(int framing_bytes, int body_bytes) {
  constexpr int kMaxChunks = 100'000;
  ChunkFramingMeter meter;
  int chunks = 0;
  while (chunks < kMaxChunks &&
         meter.Record(framing_bytes + body_bytes, body_bytes))
    ++chunks;
  return chunks;
}

BOOST_AUTO_TEST_SUITE(chunk_framing_meter)

// Guards against refusing a caller that sends its body in small chunks.
BOOST_AUTO_TEST_CASE(chunks_of_one_byte_are_in_proportion) {
  BOOST_TEST(CountAcceptedChunks(5, 1) == 100'000);
}

// Guards against a body that carries next to nothing and does not end.
BOOST_AUTO_TEST_CASE(extensions_without_a_body_are_out_of_proportion) {
  BOOST_TEST(CountAcceptedChunks(1000, 1) == 16);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
