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

// An HTTP server on its own thread. The handler and everything passed to Run()
// are called on that thread, so that their shared state needs no lock.
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

  // Runs `action` on the thread of the server, waits for it and returns its
  // result. Must not be called from that thread.
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
