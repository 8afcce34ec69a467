#ifndef SUPPORT_ENDLESS_SERVER_H_
#define SUPPORT_ENDLESS_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <thread>

namespace bamboomount::support {

// What a server in trouble sends: `start` once, in which "{id}" stands for the
// id of the request, see RequestIdOf(), and then `repeated` until the client
// closes.
struct EndlessReply {
  std::string name;
  std::string start;
  std::string repeated;
};

// A server that answers one request with an EndlessReply.
class EndlessServer {
 public:
  // Listens on a free port of the loopback interface.
  explicit EndlessServer(EndlessReply reply);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  // "ip:port".
  std::string address() const;
  // Bytes written to the connection so far.
  std::size_t bytes_written() const { return bytes_written_; }
  // Whether the client has closed the connection.
  bool closed() const { return closed_; }

 private:
  void Run();

  const EndlessReply reply_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::size_t> bytes_written_{0};
  std::atomic<bool> closed_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_ENDLESS_SERVER_H_
