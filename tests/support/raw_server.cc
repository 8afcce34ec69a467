#include "support/raw_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>

namespace bamboomount::support {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string ReplaceId(std::string text, const std::string& id) {
  const std::string placeholder = "{id}";
  for (std::size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + id.size()))
    text.replace(at, placeholder.size(), id);
  return text;
}

}  // namespace

std::string RequestIdOf(const asio::streambuf& request) {
  const std::string text(asio::buffers_begin(request.data()),
                         asio::buffers_end(request.data()));
  const std::string name = "X-Bamboomount-Request-Id: ";
  const std::size_t field = text.find(name);
  if (field == std::string::npos)
    return {};
  const std::size_t begin = field + name.size();
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

RawServer::RawServer(std::string reply)
    : reply_(std::move(reply)),
      acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
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
  ++request_count_;
  asio::write(socket, asio::buffer(ReplaceId(reply_, RequestIdOf(request))),
              error);
  socket.shutdown(tcp::socket::shutdown_send, error);
  // Closing with unread input would reset the connection and discard the reply.
  while (!error)
    asio::read(socket, request, asio::transfer_at_least(1), error);
}

}  // namespace bamboomount::support
