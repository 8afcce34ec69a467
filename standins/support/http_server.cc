#include "support/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 16384;
constexpr std::uint32_t kMaxHeaderBytes = 65536;
constexpr std::uint64_t kMaxBodyBytes = 16 << 20;

template <typename Message>
void SetHead(const HttpReply& reply, Message& message) {
  message.result(static_cast<unsigned>(reply.status));
  message.version(11);
  message.set(http::field::content_type, reply.content_type);
  for (const auto& [name, value] : reply.headers) {
    message.set(name, value);
  }
}

HttpRequest ToRequest(const http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = message.body();
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  return request;
}

void CloseSocket(tcp::socket& socket, bool reset) {
  boost::system::error_code ignored;
  if (reset) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  } else {
    socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
  socket.close(ignored);
}

bool IsClosedByPeer(tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Reads one request. Returns nothing if the request is malformed or the fault
// reset_at_byte closed the connection. Throws boost::system::system_error if
// the caller closed it.
asio::awaitable<std::optional<HttpRequest>> ReadRequest(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    FaultSwitches& faults) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(kMaxBodyBytes);
  parser.eager(true);
  std::size_t received = buffer.size();
  while (!parser.is_done()) {
    if (buffer.size() > 0) {
      boost::system::error_code error;
      buffer.consume(parser.put(buffer.data(), error));
      if (error && error != http::error::need_more) {
        CloseSocket(socket, false);
        co_return std::nullopt;
      }
      if (parser.is_done()) {
        break;
      }
    }
    const std::int64_t reset_at = faults.current().reset_at_byte;
    std::size_t limit = kReadBytes;
    if (reset_at >= 0) {
      if (received >= static_cast<std::size_t>(reset_at)) {
        // Wait for further input: an idle connection that its caller closes is
        // not a request and must not count against `times`.
        co_await socket.async_wait(tcp::socket::wait_read, use_awaitable);
        if (!IsClosedByPeer(socket)) {
          faults.Take();
        }
        CloseSocket(socket, true);
        co_return std::nullopt;
      }
      limit = std::min(limit, static_cast<std::size_t>(reset_at) - received);
    }
    const std::size_t count =
        co_await socket.async_read_some(buffer.prepare(limit), use_awaitable);
    buffer.commit(count);
    received += count;
  }
  co_return ToRequest(parser.get());
}

}  // namespace

asio::awaitable<void> Exchange::Reply(HttpReply reply) {
  http::response<http::string_body> message;
  SetHead(reply, message);
  message.body() = std::move(reply.body);
  message.prepare_payload();
  co_await http::async_write(socket_, message, use_awaitable);
}

asio::awaitable<void> Exchange::ReplyWithFaults(HttpReply reply,
                                                Faults faults) {
  if (faults.late_ms > 0) {
    co_await Wait(faults.late_ms);
  }
  if (faults.lose_answer) {
    Close(false);
    co_return;
  }
  if (faults.crash_after_tokens >= 0) {
    if (faults.crash_process) {
      std::_Exit(1);
    }
    Close(true);
    co_return;
  }
  if (faults.close_after_tokens >= 0) {
    http::response<http::string_body> message;
    SetHead(reply, message);
    message.body() = reply.body.substr(0, reply.body.size() / 2);
    message.content_length(reply.body.size());
    co_await http::async_write(socket_, message, use_awaitable);
    Close(false);
    co_return;
  }
  co_await Reply(reply);
  if (faults.answer_twice) {
    co_await Reply(reply);
  }
}

asio::awaitable<void> Exchange::StartStream(HttpReply head) {
  http::response<http::empty_body> message;
  SetHead(head, message);
  message.set(http::field::cache_control, "no-cache");
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  co_await http::async_write_header(socket_, serializer, use_awaitable);
}

asio::awaitable<void> Exchange::WriteChunk(std::string data) {
  const auto chunk = http::make_chunk(asio::buffer(data));
  co_await asio::async_write(socket_, chunk, use_awaitable);
}

asio::awaitable<void> Exchange::EndStream() {
  const auto chunk = http::make_chunk_last();
  co_await asio::async_write(socket_, chunk, use_awaitable);
}

asio::awaitable<void> Exchange::WriteRaw(std::string bytes) {
  co_await asio::async_write(socket_, asio::buffer(bytes), use_awaitable);
}

asio::awaitable<void> Exchange::Wait(std::int64_t milliseconds) {
  asio::steady_timer timer(socket_.get_executor(),
                           std::chrono::milliseconds(milliseconds));
  co_await timer.async_wait(use_awaitable);
}

void Exchange::Close(bool reset) {
  CloseSocket(socket_, reset);
}

bool Exchange::is_closed() const {
  return !socket_.is_open();
}

bool Exchange::is_disconnected() {
  if (is_closed()) {
    return true;
  }
  return IsClosedByPeer(socket_);
}

HttpServer::HttpServer(asio::io_context& io,
                       const std::string& address,
                       FaultSwitches& faults,
                       Handler handler)
    : acceptor_(io), faults_(faults), handler_(std::move(handler)) {
  const std::size_t colon = address.rfind(':');
  const tcp::endpoint endpoint(
      asio::ip::make_address(address.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(1024);
}

std::string HttpServer::address() const {
  const tcp::endpoint endpoint = acceptor_.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void HttpServer::Start() {
  asio::co_spawn(acceptor_.get_executor(), Accept(), asio::detached);
}

asio::awaitable<void> HttpServer::Accept() {
  while (true) {
    tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                   asio::detached);
  }
}

asio::awaitable<void> HttpServer::Serve(tcp::socket socket) {
  try {
    beast::flat_buffer buffer;
    while (socket.is_open()) {
      std::optional<HttpRequest> request =
          co_await ReadRequest(socket, buffer, faults_);
      if (!request) {
        co_return;
      }
      Exchange exchange(socket, std::move(*request));
      co_await handler_(exchange);
      if (strcasecmp(exchange.request().header("Connection").c_str(),
                     "close") == 0) {
        CloseSocket(socket, false);
      }
    }
  } catch (const boost::system::system_error&) {
    // The caller closed the connection.
    CloseSocket(socket, false);
  }
}

void RunUntilSignal(asio::io_context& io, const std::string& address) {
  std::puts(nlohmann::json({{"listening", address}}).dump().c_str());
  std::fflush(stdout);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
}

}  // namespace standin
