#ifndef SUPPORT_RAW_SERVER_H_
#define SUPPORT_RAW_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace bamboomount::support {

// Value of the X-Bamboomount-Request-Id or X-Request-Id field of a request;
// empty if it has none.
std::string RequestIdOf(const boost::asio::streambuf& request);
// Puts `id` in the place of each "{id}" in `text`.
std::string WithRequestId(std::string text, const std::string& id);

// How a RawServer ends a connection after its reply.
enum class ConnectionEnd {
  // Ends its own side and reads until the client closes.
  kOrderly,
  // Resets the connection without reading on.
  kReset,
  // Ends its own side, and resets the connection when the client has had time
  // to notice the end.
  kOrderlyThenReset,
};

// A server that answers the first request of each connection with fixed bytes
// as soon as the head of the request has arrived, and ends the connection. In
// the bytes, "{id}" stands for the id of the request, see RequestIdOf().
class RawServer {
 public:
  // Listens on a free port of the loopback interface.
  explicit RawServer(std::string reply,
                     ConnectionEnd end = ConnectionEnd::kOrderly);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Answers the requests to come with other bytes.
  void SetReply(std::string reply);
  // Answers the requests to come with these, and after them with the last one.
  void SetReplies(std::deque<std::string> replies);
  // "ip:port".
  std::string address() const;
  // Number of requests answered so far.
  int request_count() const { return request_count_; }

 private:
  void Run();
  void Serve(boost::asio::ip::tcp::socket socket);
  std::string TakeReply();

  std::mutex mutex_;
  std::deque<std::string> replies_;
  const ConnectionEnd end_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> request_count_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_RAW_SERVER_H_
