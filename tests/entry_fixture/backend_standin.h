#ifndef TESTS_ENTRY_FIXTURE_BACKEND_STANDIN_H_
#define TESTS_ENTRY_FIXTURE_BACKEND_STANDIN_H_

#include <chrono>
#include <string>
#include <vector>

#include "entry_fixture/server_thread.h"

namespace bamboomount::entry_test {

// What a backend server does with a request.
enum class BackendMode {
  kAnswer,
  // Says that it did not run the request.
  kRefuse,
  // Runs the request and answers with the id of another one first.
  kForeignAnswerFirst,
  // Runs the request and breaks off in the middle of the answer.
  kTruncate,
  // Runs the request and closes the connection without an answer.
  kLoseAnswer,
  // Answers without the seal.
  kUnsealed,
  // Runs the request and waits until the mode changes.
  kHold,
  // Streams: breaks off in the middle of the third event.
  kCutInEvent,
  // Says that another server has the address.
  kWrongServer,
};

// A request that reached a backend server.
struct Arrival {
  standin::HttpRequest request;
  std::chrono::steady_clock::time_point at;
  // False if it was refused.
  bool ran = false;
};

// A backend server of the platform: checks who it is asked to be, seals its
// answers, streams events on paths that end with "stream". Thread-safe.
class BackendStandin {
 public:
  explicit BackendStandin(std::string id);

  const std::string& id() const { return id_; }
  std::string address() const { return server_.address(); }
  // The row by which it registers.
  std::string RowValue(const std::string& pool, bool draining = false) const;

  void SetMode(BackendMode mode);
  // Requests that ran, in order.
  std::vector<standin::HttpRequest> ExecutedRequests();
  // Requests that arrived, whether they ran or not.
  int ArrivalCount();
  std::vector<Arrival> Arrivals();
  // Requests whose caller left while they were held.
  int AbandonedCount();

 private:
  boost::asio::awaitable<void> Handle(standin::Exchange& exchange);
  boost::asio::awaitable<void> Stream(standin::Exchange& exchange,
                                      standin::HttpReply head);
  standin::HttpReply Answer(const std::string& request_id) const;

  const std::string id_;
  BackendMode mode_ = BackendMode::kAnswer;
  std::vector<Arrival> arrivals_;
  int abandoned_count_ = 0;
  ServerThread server_;
};

// Events of a whole stream.
inline constexpr int kStreamEvents = 6;

}  // namespace bamboomount::entry_test

#endif  // TESTS_ENTRY_FIXTURE_BACKEND_STANDIN_H_
