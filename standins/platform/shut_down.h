#ifndef STANDINS_PLATFORM_SHUT_DOWN_H_
#define STANDINS_PLATFORM_SHUT_DOWN_H_

namespace cxxtools::net {
class TcpSocket;
}  // namespace cxxtools::net

namespace bamboomount::standin {

// Shuts down both directions of a connection. Later writes by the server fail,
// so the caller receives no byte of a response.
void ShutDown(cxxtools::net::TcpSocket& socket);

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_SHUT_DOWN_H_
