#ifndef SERVICE_PLAIN_SERVICE_H_
#define SERVICE_PLAIN_SERVICE_H_

#include <deque>
#include <string>

#include "support/http_server.h"
#include "support/seen_log.h"

namespace standin {

// A simulated service that executes every request it receives, also duplicates,
// and logs each execution. Runs on one thread; not thread-safe.
class PlainService {
 public:
  // Executing a request takes `work_ms` milliseconds.
  PlainService(FaultSwitches& faults, std::int64_t work_ms)
      : faults_(faults), work_ms_(work_ms) {}

  // Serves one request. Throws boost::system::system_error if the connection is
  // closed while the response is written.
  boost::asio::awaitable<void> Handle(Exchange& exchange);

 private:
  struct Execution {
    // Counts executions from 1.
    std::int64_t number = 0;
    std::string method;
    std::string target;
    std::string request_id;
    std::string body;
  };

  boost::asio::awaitable<void> Execute(Exchange& exchange);
  boost::asio::awaitable<void> WaitWhileFrozen(Exchange& exchange);
  HttpReply SetFaults(const HttpRequest& request);
  std::string ExecutedJson() const;

  FaultSwitches& faults_;
  std::int64_t work_ms_;
  SeenLog seen_;
  std::deque<Execution> executed_;
};

}  // namespace standin

#endif  // SERVICE_PLAIN_SERVICE_H_
