#include "fuzz/wire.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace bamboomount::fuzz {

Wire::Wire(asio::io_context& context) : context_(context), socket_(context) {
  std::array<int, 2> ends{};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                 ends.data()) != 0)
    throw std::system_error(errno, std::generic_category(), "socketpair");
  descriptor_ = ends[0];
  // The product only reads, writes and waits, so it does not notice that this
  // is no TCP socket.
  socket_.assign(tcp::v4(), ends[1]);
  socket_.non_blocking(true);
}

Wire::~Wire() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

void Wire::Deliver(std::string_view bytes) {
  bool full = false;
  while (descriptor_ >= 0 && !bytes.empty()) {
    const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    // A product that reads no more never makes room.
    if (sent < 0 && (errno != EAGAIN || std::exchange(full, true)))
      return;
    if (sent > 0) {
      full = false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    RunProduct();
  }
}

void Wire::End(Ending ending) {
  if (ending == Ending::kShutdown) {
    shutdown(descriptor_, SHUT_WR);
  } else {
    close(descriptor_);
    descriptor_ = -1;
  }
  RunProduct();
}

void Wire::RunProduct() {
  bool goes_on = true;
  while (goes_on) {
    context_.restart();
    goes_on = context_.poll() > 0;
    std::array<char, 16384> bytes{};
    ssize_t size = 0;
    while (descriptor_ >= 0 &&
           (size = recv(descriptor_, bytes.data(), bytes.size(), 0)) > 0) {
      output_.append(bytes.data(), static_cast<std::size_t>(size));
      goes_on = true;
    }
  }
}

}  // namespace bamboomount::fuzz
