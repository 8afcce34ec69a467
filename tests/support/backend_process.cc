#include "support/backend_process.h"

#include <stdexcept>

#include "support/http_client.h"

namespace bamboomount::support {
namespace {

std::vector<std::string> WithListen(std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), {"--listen", "127.0.0.1:0"});
  return arguments;
}

}  // namespace

BackendProcess::BackendProcess(const std::string& program,
                               std::vector<std::string> arguments)
    : process_(program, WithListen(std::move(arguments))),
      address_(process_.ReadListeningAddress()) {}

void BackendProcess::SetFaults(const std::string& json) {
  const ClientAnswer answer = CallOnce(address_, {"POST", "/faults", {}, json});
  if (answer.status != 200)
    throw std::runtime_error("fault switches refused: " + answer.body);
}

nlohmann::json BackendProcess::Get(const std::string& target) {
  const ClientAnswer answer = CallOnce(address_, {"GET", target, {}, ""});
  if (answer.status != 200)
    throw std::runtime_error("GET " + target + " failed: " + answer.body);
  return nlohmann::json::parse(answer.body);
}

std::vector<nlohmann::json> BackendProcess::Executed() {
  return Get("/executed").at("executed");
}

std::vector<nlohmann::json> BackendProcess::Seen() {
  return Get("/seen").at("requests");
}

}  // namespace bamboomount::support
