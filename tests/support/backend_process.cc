#include "support/backend_process.h"

#include <stdexcept>

#include "support/http_client.h"

namespace bamboomount::support {
namespace {

std::vector<std::string> WithListenOption(std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), {"--listen", "127.0.0.1:0"});
  return arguments;
}

}  // namespace

BackendProcess::BackendProcess(const std::string& program,
                               std::vector<std::string> arguments)
    : process_(program, WithListenOption(std::move(arguments))),
      address_(process_.ReadListeningAddress()) {}

void BackendProcess::SetFaults(const std::string& json) {
  const ClientResponse response =
      CallOnce(address_, {"POST", "/faults", {}, json});
  if (response.status != 200)
    throw std::runtime_error("setting the fault switches failed: " +
                             response.body);
}

nlohmann::json BackendProcess::Get(const std::string& target) {
  const ClientResponse response = CallOnce(address_, {"GET", target, {}, ""});
  if (response.status != 200)
    throw std::runtime_error("GET " + target + " failed: " + response.body);
  return nlohmann::json::parse(response.body);
}

std::vector<nlohmann::json> BackendProcess::ExecutedRequests() {
  return Get("/executed").at("executed");
}

std::vector<nlohmann::json> BackendProcess::ReceivedRequests() {
  return Get("/seen").at("requests");
}

}  // namespace bamboomount::support
