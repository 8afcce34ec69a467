#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "entry_fixture/entry_fleet.h"
#include "support/endless_server.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using support::EndlessServer;
using support::WaitUntil;

// Size of a chunk extension.
constexpr std::size_t kExtensionBytes = 1'000;

// An endless reply, and the target of the request that it answers.
struct Example {
  std::string target;
  support::EndlessReply reply;
};

std::string StreamHead(const std::string& request_id) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "X-Bamboomount-Request-Id: " +
         request_id +
         "\r\nX-Bamboomount-Response-Seal: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

const Example kExamples[] = {
    {"/lookup/x",
     {"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
    {"/lookup/x",
     {"body of another request", StreamHead("other"), "8\r\n12345678\r\n"}},
    {"/lookup/x",
     {"body without a seal",
      "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: {id}\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "8\r\n12345678\r\n"}},
    {"/talk/stream",
     {"chunk header", StreamHead("{id}") + "8;x=", "xxxxxxxxxx"}},
    {"/talk/stream",
     {"event", StreamHead("{id}") + "8\r\nid: 1\r\nd\r\n",
      "8\r\ndata: xx\r\n"}},
    {"/lookup/x", {"status line", "", "xxxxxxxxxx"}},
    {"/lookup/x", {"field", "HTTP/1.1 200 OK\r\nX-Odd: ", "xxxxxxxxxx"}},
    {"/lookup/x", {"fields", "HTTP/1.1 200 OK\r\n", "X-Odd: 1\r\n"}},
    {"/lookup/x",
     {"fields of an informational response", "HTTP/1.1 103 Early Hints\r\n",
      "X-Odd: 1\r\n"}},
    {"/lookup/x", {"trailers", StreamHead("{id}") + "0\r\n", "X-Odd: 1\r\n"}},
    {"/lookup/x",
     {"chunk extensions of a plain reply", StreamHead("{id}"),
      "1;" + std::string(kExtensionBytes, 'x') + "\r\n1\r\n"}},
    {"/talk/stream",
     {"chunk extensions of a stream", StreamHead("{id}"),
      "1;" + std::string(kExtensionBytes, 'x') + "\r\n1\r\n"}},
    {"/lookup/x",
     {"chunk extensions without a seal",
      "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: {id}\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      "1;" + std::string(kExtensionBytes, 'x') + "\r\n1\r\n"}},
    {"/lookup/x",
     {"body without a length and a seal",
      "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: {id}\r\n\r\n",
      "xxxxxxxxxx"}},
    {"/lookup/x",
     {"body without an id", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxx"}},
};

BOOST_FIXTURE_TEST_SUITE(endless_reply, EntryFleet)

// Guards against a server in trouble whose bytes are read for as long as the
// request may last, or fill the memory of the instance: after a bounded number
// of bytes that are no answer, the connection is closed.
BOOST_AUTO_TEST_CASE(bytes_without_an_end_are_cut_off) {
  // What the instance may read, and what socket buffers take besides.
  constexpr std::size_t kMaxBytes = 16U << 20U;
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  for (const Example& example : kExamples) {
    BOOST_TEST_CONTEXT(example.reply.name) {
      EndlessServer server(example.reply);
      const std::string id = "e-" + std::to_string(&example - kExamples);
      store().Put("servers", id, BackendRow(server.address()).dump());
      instance.WaitUntilReady();
      std::thread caller([&] {
        // The request is refused until the instance has read the row.
        WaitUntil([&] {
          Call(instance, MakeRequest("GET", example.target));
          return server.bytes_written() > 0 || server.closed();
        });
      });
      BOOST_TEST(WaitUntil([&] { return server.closed(); }));
      BOOST_TEST(server.bytes_written() < kMaxBytes);
      store().Remove("servers", id);
      caller.join();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
