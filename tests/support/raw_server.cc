#include "support/raw_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <sstream>
#include <utility>

namespace bamboomount::support {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Small, so that a long request is still being written when the reply is sent.
constexpr int kReceiveBufferBytes = 65'536;
// In this time the client takes what was sent. A reset can discard the rest.
constexpr std::chrono::milliseconds kPauseBeforeReset{50};

tcp::acceptor OpenAcceptor(asio::io_context& context) {
  tcp::acceptor acceptor(context, tcp::v4());
  acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen();
  return acceptor;
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

std::string RequestIdOf(const asio::streambuf& request) {
  const std::string text(asio::buffers_begin(request.data()),
                         asio::buffers_end(request.data()));
  const std::string name = "Request-Id: ";
  const std::size_t field = text.find(name);
  if (field == std::string::npos)
    return {};
  const std::size_t begin = field + name.size();
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

std::string WithRequestId(std::string text, const std::string& id) {
  const std::string placeholder = "{id}";
  for (std::size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + id.size()))
    text.replace(at, placeholder.size(), id);
  return text;
}

RawServer::RawServer(std::string reply, ConnectionEnd end)
    : replies_({std::move(reply)}),
      end_(end),
      acceptor_(OpenAcceptor(context_)),
      thread_([this] { Run(); }) {}

RawServer::~RawServer() {
  stopping_ = true;
  // Unblocks the accept.
  tcp::socket socket(context_);
  boost::system::error_code ignored;
  socket.connect(acceptor_.local_endpoint(), ignored);
  socket.close(ignored);
  thread_.join();
}

std::string RawServer::address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void RawServer::SetReply(std::string reply) {
  SetReplies({std::move(reply)});
}

void RawServer::SetReplies(std::deque<std::string> replies) {
  const std::lock_guard lock(mutex_);
  replies_ = std::move(replies);
}

std::string RawServer::TakeReply() {
  const std::lock_guard lock(mutex_);
  std::string reply = replies_.front();
  if (replies_.size() > 1)
    replies_.pop_front();
  return reply;
}

void RawServer::Run() {
  while (!stopping_) {
    boost::system::error_code error;
    tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (!error)
      Serve(std::move(socket));
  }
}

void RawServer::Serve(tcp::socket socket) {
  boost::system::error_code error;
  asio::streambuf request;
  asio::read_until(socket, request, "\r\n\r\n", error);
  if (error)
    return;
  const std::string reply = WithRequestId(TakeReply(), RequestIdOf(request));
  ++request_count_;
  asio::write(socket, asio::buffer(reply), error);
  if (end_ != ConnectionEnd::kReset)
    socket.shutdown(tcp::socket::shutdown_send, error);
  if (end_ != ConnectionEnd::kOrderly) {
    std::this_thread::sleep_for(kPauseBeforeReset);
    Reset(socket);
    return;
  }
  // Closing with unread input would reset the connection and discard the reply.
  while (!error)
    asio::read(socket, request, asio::transfer_at_least(1), error);
}

}  // namespace bamboomount::support
