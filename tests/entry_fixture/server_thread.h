#ifndef TESTS_ENTRY_FIXTURE_SERVER_THREAD_H_
#define TESTS_ENTRY_FIXTURE_SERVER_THREAD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "support/http_server.h"

namespace bamboomount::entry_test {

// Serves HTTP on a thread of its own. The handler and all that is passed to Run
// share that thread, so that state behind them needs no lock.
class ServerThread {
 public:
  explicit ServerThread(standin::HttpServer::Handler handler)
      : server_(context_, "127.0.0.1:0", faults_, std::move(handler)) {
    server_.Start();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ServerThread() {
    context_.stop();
    thread_.join();
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;

  std::string address() const { return server_.address(); }

  // Runs `action` on the server's thread and returns what it returns.
  template <typename Action>
  auto Run(Action action) {
    std::packaged_task<decltype(action())()> task(std::move(action));
    auto result = task.get_future();
    boost::asio::post(context_, [&task] { task(); });
    return result.get();
  }

 private:
  boost::asio::io_context context_;
  standin::FaultSwitches faults_;
  standin::HttpServer server_;
  std::thread thread_;
};

}  // namespace bamboomount::entry_test

#endif  // TESTS_ENTRY_FIXTURE_SERVER_THREAD_H_
