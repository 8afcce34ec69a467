#include <tclap/CmdLine.h>

#include "service/plain_service.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Simulated service for tests.");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address to listen on",
                                      false, "127.0.0.1:0", "ip:port", command);
  TCLAP::ValueArg<int> work("", "work-ms",
                            "Time that it takes to execute a request", false, 0,
                            "milliseconds", command);
  command.parse(argc, argv);
  boost::asio::io_context io(1);
  standin::FaultSwitches faults;
  standin::PlainService service(faults, work.getValue());
  standin::HttpServer server(io, listen.getValue(), faults,
                             [&service](standin::Exchange& exchange) {
                               return service.Handle(exchange);
                             });
  server.Start();
  standin::RunUntilSignal(io, server.address());
}
