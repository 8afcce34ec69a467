#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {
namespace {

struct Example {
  MessageFraming framing;
  bool unambiguous;
};

BOOST_AUTO_TEST_SUITE(message_framing)

// Guards against a body whose end is in doubt: a request that is hidden in it
// would be read, and run, as the next request of its connection.
BOOST_AUTO_TEST_CASE(only_one_length_or_chunked_alone_is_unambiguous) {
  const std::vector<Example> examples{
      {{11, {}, {}}, true},
      {{10, {}, {}}, true},
      {{11, {}, {"0"}}, true},
      {{10, {}, {" 17 "}}, true},
      {{11, {"chunked"}, {}}, true},
      {{11, {" Chunked\t"}, {}}, true},
      {{10, {"chunked"}, {}}, false},
      {{11, {"gzip"}, {}}, false},
      {{11, {""}, {}}, false},
      {{11, {"gzip, chunked"}, {}}, false},
      {{11, {"chunked, identity"}, {}}, false},
      {{11, {"chunked;q=1"}, {}}, false},
      {{11, {"gzip", "chunked"}, {}}, false},
      {{11, {"chunked", "chunked"}, {}}, false},
      {{11, {"chunked"}, {"5"}}, false},
      {{11, {"gzip"}, {"5"}}, false},
      {{11, {}, {"5", "5"}}, false},
      {{11, {}, {"5, 5"}}, false},
      {{11, {}, {""}}, false},
      {{11, {}, {"-1"}}, false},
      {{11, {}, {"+5"}}, false},
      {{11, {}, {"0x5"}}, false},
      {{11, {}, {"99999999999999999999"}}, false},
  };
  for (const Example& example : examples) {
    BOOST_TEST_CONTEXT("example " << &example - examples.data())
    BOOST_TEST(IsUnambiguous(example.framing) == example.unambiguous);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
