#ifndef SUPPORT_HTTP_SERVER_H_
#define SUPPORT_HTTP_SERVER_H_

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "support/faults.h"
#include "support/http_message.h"

namespace standin {

// One request and the means to answer it. Writing throws
// boost::system::system_error if the connection is gone.
class Exchange {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  Exchange(Socket& socket, HttpRequest request)
      : socket_(socket), request_(std::move(request)) {}

  const HttpRequest& request() const { return request_; }

  // Sends a whole answer.
  boost::asio::awaitable<void> Reply(HttpReply reply);
  // Sends a whole answer with the faults of the request: late, lost, cut in
  // half or twice.
  boost::asio::awaitable<void> ReplyWithFaults(HttpReply reply, Faults faults);
  // Starts a streamed answer; `head.body` is not used.
  boost::asio::awaitable<void> StartStream(HttpReply head);
  boost::asio::awaitable<void> WriteChunk(std::string data);
  boost::asio::awaitable<void> EndStream();

  boost::asio::awaitable<void> Wait(std::int64_t milliseconds);

  // Closes the connection, by a reset if `reset`. No further call but
  // is_closed may follow.
  void Close(bool reset);
  bool is_closed() const;
  // Whether the caller has closed its side.
  bool is_disconnected();

 private:
  Socket& socket_;
  HttpRequest request_;
};

// Serves HTTP/1.1 with keep-alive on one thread.
class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

  // Listens on `address` ("ip:port", port 0 for any). Throws
  // boost::system::system_error if that fails.
  HttpServer(boost::asio::io_context& io,
             const std::string& address,
             FaultSwitches& faults,
             Handler handler);

  // "ip:port" with the real port.
  std::string address() const;
  void Start();

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(Exchange::Socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  FaultSwitches& faults_;
  Handler handler_;
};

// Prints {"listening":ADDRESS} on standard output and runs `io` until SIGTERM
// or SIGINT.
void RunUntilSignal(boost::asio::io_context& io, const std::string& address);

}  // namespace standin

#endif  // SUPPORT_HTTP_SERVER_H_
