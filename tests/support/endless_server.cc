#include "support/endless_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>

#include "support/raw_server.h"

namespace bamboomount::support {

using boost::asio::ip::tcp;

EndlessServer::EndlessServer(EndlessReply reply)
    : reply_(std::move(reply)),
      acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
      thread_([this] { Run(); }) {}

EndlessServer::~EndlessServer() {
  stopping_ = true;
  // Unblocks the accept if no request came.
  tcp::socket socket(context_);
  boost::system::error_code ignored;
  socket.connect(acceptor_.local_endpoint(), ignored);
  thread_.join();
}

std::string EndlessServer::address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void EndlessServer::Run() {
  boost::system::error_code error;
  tcp::socket socket(context_);
  acceptor_.accept(socket, error);
  boost::asio::streambuf request;
  boost::asio::read_until(socket, request, "\r\n\r\n", error);
  const std::string start = WithRequestId(reply_.start, RequestIdOf(request));
  boost::asio::write(socket, boost::asio::buffer(start), error);
  std::string block;
  constexpr int kRepeatsPerWrite = 1000;
  for (int i = 0; i < kRepeatsPerWrite; ++i)
    block += reply_.repeated;
  while (!error && !stopping_)
    bytes_written_ +=
        boost::asio::write(socket, boost::asio::buffer(block), error);
  closed_ = true;
}

}  // namespace bamboomount::support
