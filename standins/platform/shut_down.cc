#include "shut_down.h"

#include <cxxtools/net/tcpsocket.h>
#include <sys/socket.h>

namespace bamboomount::standin {

void ShutDown(cxxtools::net::TcpSocket& socket) {
  ::shutdown(socket.getFd(), SHUT_RDWR);
}

}  // namespace bamboomount::standin
