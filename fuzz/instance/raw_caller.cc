#include "fuzz/instance/raw_caller.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <stdexcept>

#include "gateway/forwarding/endpoint.h"

namespace bamboomount::fuzz {
namespace {

// How long an instance may be silent before it counts as done. Requests that
// are answered at all are answered sooner.
constexpr int kSilenceMs = 400;

// Returns false once nothing more comes.
bool Receive(int descriptor, int wait_ms, std::string& received) {
  pollfd waiting{descriptor, POLLIN, 0};
  if (poll(&waiting, 1, wait_ms) <= 0)
    return false;
  std::array<char, 16384> bytes{};
  const ssize_t size = recv(descriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0)
    return false;
  received.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

tcp::endpoint EndpointOf(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint)
    throw std::runtime_error("no address: " + address);
  return *endpoint;
}

}  // namespace

std::string SendRaw(const std::string& address,
                    const std::vector<std::string>& pieces,
                    const IsDone& is_done,
                    bool resets) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(EndpointOf(address));
  socket.set_option(tcp::no_delay(true));
  const int descriptor = socket.native_handle();
  std::string received;
  for (const std::string& piece : pieces) {
    if (send(descriptor, piece.data(), piece.size(), MSG_NOSIGNAL) < 0)
      break;
    Receive(descriptor, 0, received);
  }
  if (resets) {
    socket.set_option(asio::socket_base::linger(true, 0));
    return received;
  }
  while (!is_done(received) && Receive(descriptor, kSilenceMs, received)) {
  }
  return received;
}

void SendDatagram(const std::string& address, const std::string& bytes) {
  using udp = boost::asio::ip::udp;
  const tcp::endpoint to = EndpointOf(address);
  asio::io_context context;
  udp::socket socket(context, udp::v4());
  error_code ignored;
  socket.send_to(asio::buffer(bytes), udp::endpoint(to.address(), to.port()), 0,
                 ignored);
}

}  // namespace bamboomount::fuzz
