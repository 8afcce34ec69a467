#ifndef TESTS_ENTRY_FIXTURE_BACKEND_STANDIN_H_
#define TESTS_ENTRY_FIXTURE_BACKEND_STANDIN_H_

#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "entry_fixture/server_thread.h"

namespace bamboomount::entry_test {

// How a BackendStandin handles requests.
enum class BackendMode {
  kAnswer,
  // Answers 503 and that it did not run the request.
  kRefuse,
  // Runs the request, but sends a reply with the id of another request first.
  kMismatchedReplyFirst,
  // Runs the request and closes the connection in the middle of the reply.
  kTruncate,
  // Runs the request and closes the connection without a reply.
  kLoseReply,
  // Runs the request and replies without the seal.
  kUnsealed,
  // Runs the request and delays the reply until the mode changes.
  kHold,
  // Closes the connection in the middle of the third event of a stream.
  kCutInEvent,
  // Runs the request and says in the reply that the server is about to leave.
  kAnswerLeaving,
  // Answers 503, that it did not run the request, and kRetryAfter.
  kRefuseWithRetryAfter,
  // Runs the request; the reply has no length and ends with its connection.
  kUntilClose,
  // The same, but the connection is closed in the middle of the third event.
  kUntilCloseInEvent,
  // The same, but the connection is reset in the middle of the reply.
  kUntilReset,
  // Closes the connection without a reply, as a crash does, if the prompt
  // contains kPoisonPart; answers other requests.
  kCrashOnPoisonPart,
  // Answers 421, as a server does that has taken over the address.
  kWrongServer,
  // Runs the request and sends the bytes of SetScript() in place of a reply.
  // Streams that begin are cut as in kCutInEvent; the script answers the
  // requests that resume them.
  kScript,
  // Falls silent for kSilence in the middle of a stream and goes on.
  kSilentInStream,
  // Says that it is brittle and runs the requests as SetBrittleness() has it.
  kBrittle,
};

// For how long a sound server may send nothing.
inline constexpr std::chrono::milliseconds kSilence{1200};

// How a stand-in in mode kBrittle runs requests and when it falls over.
struct Brittleness {
  // Requests that it takes at a time; it refuses the others.
  int room = 8;
  // The most refusals in one second that it bears.
  int max_rejections = 0;
  std::chrono::milliseconds service_time{0};
  // For how long it closes all connections once it has fallen over.
  std::chrono::milliseconds outage{0};
};

// What a stand-in in mode kBrittle has seen.
struct BrittleRecord {
  int served = 0;
  int rejected = 0;
  // How often it fell over.
  int falls = 0;
  // The largest number of refusals within one second.
  int most_rejected_in_one_second = 0;
};

// What a stand-in in mode kScript sends. In `reply`, "{id}" stands for the id
// of the request and "{previous}" for that of the request before it.
struct BackendScript {
  std::string reply;
  // Whether the connection is closed after the bytes.
  bool closes = false;
};

// For how long a server in mode kRefuseWithRetryAfter asks for no requests.
inline constexpr std::chrono::milliseconds kRetryAfter{1500};

// The row of a backend server that is ready, as it stands in the store.
nlohmann::json BackendRow(const std::string& address,
                          const std::string& pool = "pool");

// Hexadecimal id of a part of prompts.
inline constexpr char kPoisonPart[] = "dead";

// Whether the part is in the prompt of the request.
bool HasPoisonPart(const standin::HttpRequest& request);

// A request that reached a stand-in.
struct Arrival {
  standin::HttpRequest request;
  std::chrono::steady_clock::time_point at;
  // False if the request was refused.
  bool ran = false;
};

// Stand-in for a backend server: refuses requests meant for another server,
// seals its replies, and streams events on paths that end with "stream".
// Thread-safe.
class BackendStandin {
 public:
  // `version` is that of its software.
  explicit BackendStandin(std::string id, std::string version = "v1");

  const std::string& id() const { return id_; }
  std::string address() const { return server_.address(); }
  // Value of its row in the table of backend servers.
  std::string RowValue(const std::string& pool, bool draining = false) const;

  void SetMode(BackendMode mode);
  // Sets the mode kScript.
  void SetScript(BackendScript script);
  // Sets the mode kBrittle.
  void SetBrittleness(const Brittleness& brittleness);
  BrittleRecord brittle_record();
  // Requests that ran, in order of arrival.
  std::vector<standin::HttpRequest> ExecutedRequests();
  // Requests that arrived, whether they ran or were refused.
  int ArrivalCount();
  std::vector<Arrival> Arrivals();
  // Number of requests whose connection was closed while they were held.
  int AbandonedCount();
  // Requests that asked it to continue a stream after some event.
  int ResumeCount();

 private:
  boost::asio::awaitable<void> Handle(standin::Exchange& exchange);
  // Answers a request that runs as the mode has it.
  boost::asio::awaitable<void> Answer(standin::Exchange& exchange,
                                      standin::HttpReply reply);
  boost::asio::awaitable<void> Stream(standin::Exchange& exchange,
                                      standin::HttpReply head);
  boost::asio::awaitable<void> RunScript(standin::Exchange& exchange);
  boost::asio::awaitable<void> RunBrittle(standin::Exchange& exchange,
                                          standin::HttpReply reply);
  // Counts a refusal. Returns whether the stand-in falls over.
  bool RecordRejection();
  // Replies without a length and closes the connection.
  boost::asio::awaitable<void> ReplyUntilClose(standin::Exchange& exchange,
                                               const standin::HttpReply& reply);
  standin::HttpReply MakeReply(const std::string& request_id) const;

  const std::string id_;
  const std::string version_;
  BackendMode mode_ = BackendMode::kAnswer;
  BackendScript script_;
  Brittleness brittleness_;
  BrittleRecord brittle_record_;
  int running_ = 0;
  std::deque<std::chrono::steady_clock::time_point> rejections_;
  std::chrono::steady_clock::time_point fallen_until_;
  std::vector<Arrival> arrivals_;
  int abandoned_count_ = 0;
  ServerThread server_;
};

// Number of events in a complete stream.
inline constexpr int kStreamEvents = 6;

}  // namespace bamboomount::entry_test

#endif  // TESTS_ENTRY_FIXTURE_BACKEND_STANDIN_H_
