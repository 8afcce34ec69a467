#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "entry_fixture/entry_fleet.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::HttpClient;

constexpr std::size_t kMaxBodyBytes = 4'194'304;

std::string HeadOf(const std::string& length_field) {
  return "POST /book/x HTTP/1.1\r\nHost: h.example\r\n"
         "X-Bamboomount-Request-Id: upload\r\nX-Api-Key: key-mill\r\n"
         "X-Bamboomount-Deadline-Milliseconds: 15000\r\n" +
         length_field + "\r\n\r\n";
}

// Instances that accept large bodies.
class UploadFleet : public EntryFleet {
 public:
  void ConfigureUploads(int header_timeout_ms, int idle_timeout_ms) {
    json config = MakeConfig(1, DefaultCustomers());
    config["limits"] = {{"max_header_bytes", 16384},
                        {"max_body_bytes", kMaxBodyBytes},
                        {"header_timeout_ms", header_timeout_ms},
                        {"idle_timeout_ms", idle_timeout_ms}};
    store().Put("op", "config", config.dump());
  }
};

// Sends `start` on many connections, which then run out of time. The process is
// stopped meanwhile, so that it finds at once that they are out of time and
// that `piece` has arrived; the next pieces come while it waits for the close.
void RunOutOfTime(EntryInstance& instance,
                  const std::string& start,
                  const std::string& piece) {
  constexpr int kConnections = 50;
  constexpr std::chrono::milliseconds kPause{100};
  constexpr std::chrono::milliseconds kTimeout{500};
  std::vector<HttpClient> callers;
  callers.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    callers.emplace_back(instance.caller_address());
    callers.back().SendRaw(start);
  }
  std::this_thread::sleep_for(kPause);
  instance.process().Stop();
  for (HttpClient& caller : callers)
    caller.SendRaw(piece);
  std::this_thread::sleep_for(kTimeout);
  instance.process().Continue();
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(kPause);
    for (HttpClient& caller : callers)
      caller.SendRaw(piece);
  }
}

BOOST_FIXTURE_TEST_SUITE(upload, UploadFleet)

// Guards against damaged memory: the read of a body that had run out of time
// went on into a buffer that had been freed, and the process died with all
// requests in progress.
BOOST_AUTO_TEST_CASE(an_upload_out_of_time_leaves_the_process_sound) {
  constexpr int kRounds = 3;
  // The instance takes two reads for a piece.
  const std::string piece(700, 'x');
  const std::string body_start =
      HeadOf("Content-Length: " + std::to_string(kMaxBodyBytes));
  const std::string head_start = "POST /book/x HTTP/1.1\r\nX-Long: ";
  ConfigureUploads(200, 300);
  AddBackend("e-1");
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& start : {body_start, head_start}) {
      RunOutOfTime(instance, start, piece);
      BOOST_REQUIRE(instance.process().running());
      BOOST_TEST(Call(instance, MakeRequest("POST", "/book/x")).status == 200);
    }
  }
}

// Guards against a process that is killed for its memory: bodies in chunks were
// not counted against the limit for bodies in memory.
BOOST_AUTO_TEST_CASE(bodies_in_chunks_count_against_the_memory_limit) {
  constexpr int kUploads = 8;
  constexpr std::size_t kChunkBytes = 50'000;
  constexpr std::size_t kChunks = 40;
  // Bodies may take 0.3 of this, which is three of the uploads.
  constexpr int kMemoryMb = 20;
  ConfigureUploads(3000, 15000);
  EntryInstance& instance = AddInstance("i-1", {{"memory_mb", kMemoryMb}});
  instance.WaitUntilReady();
  const std::string chunk = "c350\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  std::vector<int> statuses(kUploads);
  std::vector<std::thread> uploads;
  uploads.reserve(kUploads);
  for (int& status : statuses) {
    uploads.emplace_back([&instance, &chunk, &status] {
      HttpClient client(instance.caller_address(), std::chrono::seconds(3));
      bool open = client.SendRaw(HeadOf("Transfer-Encoding: chunked"));
      for (std::size_t i = 0; open && i < kChunks; ++i)
        open = client.SendRaw(chunk);
      // The body has no end yet, so there is no answer but a refusal.
      status = client.ReadResponse().status;
    });
  }
  for (std::thread& upload : uploads)
    upload.join();
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 503) >= 5);
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 0) <= 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
