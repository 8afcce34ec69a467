#include "support/platform_process.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "provider/http_exchange.h"

namespace bamboomount::support {
namespace {

std::string Call(const std::string& address, const ExchangeRequest& call) {
  const auto response =
      SendRequest(address, call, ChildProcess::kDefaultDeadline);
  if (!response)
    throw std::runtime_error(response.error().message);
  if (response.value().status != 200)
    throw std::runtime_error(response.value().body);
  return response.value().body;
}

}  // namespace

PlatformProcess::PlatformProcess()
    : process_(ProgramPath("standin_platform"), {"--listen", "127.0.0.1:0"}),
      address_(process_.ReadListeningAddress()) {}

void PlatformProcess::SetFaults(const std::string& json) {
  Call(address_, {"POST", "/faults", json});
}

std::vector<BackendOrder> PlatformProcess::Orders() {
  std::vector<BackendOrder> orders;
  const auto json =
      nlohmann::json::parse(Call(address_, {"GET", "/orders", {}}));
  for (const auto& order : json.at("orders"))
    orders.push_back(wire::BackendOrderFrom(order));
  return orders;
}

std::vector<UsageReport> PlatformProcess::Usage() {
  std::vector<UsageReport> usage;
  const auto json =
      nlohmann::json::parse(Call(address_, {"GET", "/usage", {}}));
  for (const auto& report : json.at("usage"))
    usage.push_back(wire::UsageReportFrom(report));
  return usage;
}

}  // namespace bamboomount::support
