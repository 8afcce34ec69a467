#include <arpa/inet.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "platform_service.h"

namespace {

// Each frozen or delayed call occupies a thread of the server.
constexpr unsigned kMaxThreads = 200;
// File descriptors below this number are searched for the listening socket.
constexpr int kMaxDescriptors = 1024;

// Returns the port of the only listening socket of this process. The server has
// no accessor for the port that the kernel chooses for port 0. Throws
// std::runtime_error if there is no such socket.
unsigned short ListeningPort() {
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    int listening = 0;
    socklen_t size = sizeof listening;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) !=
            0 ||
        listening == 0) {
      continue;
    }
    sockaddr_in address{};
    socklen_t address_size = sizeof address;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address),
                    &address_size) == 0) {
      return ntohs(address.sin_port);
    }
  }
  throw std::runtime_error("no listening socket found");
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Simulated in-memory platform for tests");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on",
                                      false, "127.0.0.1:0", "ip:port", command);
  command.parse(argc, argv);
  const std::string& address = listen.getValue();
  const auto colon = address.rfind(':');
  if (colon == std::string::npos)
    throw std::invalid_argument("not an ip:port address: " + address);
  const std::string ip = address.substr(0, colon);
  const auto port =
      static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));

  bamboomount::standin::PlatformState state;
  bamboomount::standin::PlatformService service(state);
  cxxtools::EventLoop loop;
  cxxtools::http::Server server(loop, ip, port);
  server.maxThreads(kMaxThreads);
  server.addService(cxxtools::Regex("."), service);
  std::cout << nlohmann::json{{"listening",
                               ip + ":" + std::to_string(ListeningPort())}}
                   .dump()
            << std::endl;
  loop.run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  // Writing to a connection that its caller has closed must not terminate the
  // process.
  signal(SIGPIPE, SIG_IGN);
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
