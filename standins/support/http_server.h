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

// One request and the functions to respond to it. Writing throws
// boost::system::system_error if the connection is closed. Not thread-safe.
class Exchange {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  Exchange(Socket& socket, HttpRequest request)
      : socket_(socket), request_(std::move(request)) {}

  const HttpRequest& request() const { return request_; }

  // Sends a complete response.
  boost::asio::awaitable<void> Reply(HttpReply reply);
  // Sends a response with the faults of the request, which may delay, drop,
  // truncate or duplicate it, reset the connection or terminate the process.
  boost::asio::awaitable<void> ReplyWithFaults(HttpReply reply, Faults faults);
  // Sends the head of a chunked response; `head.body` is ignored.
  boost::asio::awaitable<void> StartStream(HttpReply head);
  boost::asio::awaitable<void> WriteChunk(std::string data);
  boost::asio::awaitable<void> EndStream();
  // Sends bytes as they are, for responses that the other functions cannot
  // produce.
  boost::asio::awaitable<void> WriteRaw(std::string bytes);

  boost::asio::awaitable<void> Wait(std::int64_t milliseconds);

  // Closes the connection, with a TCP reset if `reset`. Only is_closed may be
  // called afterwards.
  void Close(bool reset);
  bool is_closed() const;
  // Whether the connection is closed, by Close or by the caller.
  bool is_disconnected();

 private:
  Socket& socket_;
  HttpRequest request_;
};

// HTTP/1.1 server with keep-alive; runs on the thread of `io`.
class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

  // Listens on `address`, "ip:port"; the kernel chooses the port if it is 0.
  // Throws boost::system::system_error if that fails. `faults` must outlive the
  // server.
  HttpServer(boost::asio::io_context& io,
             const std::string& address,
             FaultSwitches& faults,
             Handler handler);

  // "ip:port" with the port that the server listens on.
  std::string address() const;
  // Starts to accept connections once `io` runs.
  void Start();

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(Exchange::Socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  FaultSwitches& faults_;
  Handler handler_;
};

// Prints {"listening":ADDRESS} to standard output, then runs `io` until SIGTERM
// or SIGINT.
void RunUntilSignal(boost::asio::io_context& io, const std::string& address);

}  // namespace standin

#endif  // SUPPORT_HTTP_SERVER_H_
