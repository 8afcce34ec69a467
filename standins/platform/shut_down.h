#ifndef STANDINS_PLATFORM_SHUT_DOWN_H_
#define STANDINS_PLATFORM_SHUT_DOWN_H_

namespace cxxtools::net {
class TcpSocket;
}  // namespace cxxtools::net

namespace bamboomount::standin {

// Ends both directions of a connection. Later writes of the server fail, so
// the caller gets no byte of an response.
void ShutDown(cxxtools::net::TcpSocket& socket);

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_SHUT_DOWN_H_
