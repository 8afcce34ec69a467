#ifndef SUPPORT_REPLY_CHECKS_H_
#define SUPPORT_REPLY_CHECKS_H_

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "support/raw_server.h"
#include "support/reply_examples.h"

namespace bamboomount::support {

// Calls the server at an address, "ip:port", and returns the body of the answer
// that its caller gets; empty if the caller gets none.
using ReplyReader = std::function<std::optional<std::string>(
    const std::string& server_address)>;

// Checks that the reader takes none of the examples for an answer.
inline void CheckNoAnswer(const std::vector<ReplyExample>& examples,
                          const ReplyReader& read,
                          ConnectionEnd end = ConnectionEnd::kOrderly) {
  RawServer server({}, end);
  int requests = 0;
  for (const ReplyExample& example : examples) {
    BOOST_TEST_CONTEXT(example.name) {
      server.SetReply(example.bytes);
      BOOST_TEST(!read(server.address()).has_value());
      BOOST_TEST(server.request_count() == ++requests);
    }
  }
}

// Checks that the reader gets the whole body of each example.
inline void CheckDelivered(const std::vector<ReplyExample>& examples,
                           const std::string& body,
                           const ReplyReader& read,
                           ConnectionEnd end = ConnectionEnd::kOrderly) {
  for (const ReplyExample& example : examples) {
    BOOST_TEST_CONTEXT(example.name) {
      RawServer server(example.bytes, end);
      BOOST_TEST(read(server.address()).value_or("no answer") == body);
    }
  }
}

}  // namespace bamboomount::support

#endif  // SUPPORT_REPLY_CHECKS_H_
