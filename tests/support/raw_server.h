#ifndef SUPPORT_RAW_SERVER_H_
#define SUPPORT_RAW_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>
#include <string>
#include <thread>

namespace bamboomount::support {

// Value of the X-Bamboomount-Request-Id field of a request; empty if it has
// none.
std::string RequestIdOf(const boost::asio::streambuf& request);

// A server that answers the first request of each connection with the same
// bytes and closes the connection. In the bytes, "{id}" stands for the value of
// the request's X-Bamboomount-Request-Id field.
class RawServer {
 public:
  // Listens on a free port of the loopback interface.
  explicit RawServer(std::string reply);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // "ip:port".
  std::string address() const;
  // Number of requests answered so far.
  int request_count() const { return request_count_; }

 private:
  void Run();
  void Serve(boost::asio::ip::tcp::socket socket);

  const std::string reply_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> request_count_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_RAW_SERVER_H_
