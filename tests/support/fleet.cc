#include "support/fleet.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "support/http_client.h"
#include "support/wait_until.h"

namespace bamboomount::support {
namespace {

constexpr Millis kStoreTimeout{10000};
constexpr std::array kZones = {"zone-a", "zone-b", "zone-c"};

std::string MakeTempDirectory() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "bamboomount-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error(
        "cannot create a temporary directory for settings files");
  return pattern;
}

// Returns a loopback address whose port is currently free. Peers need each
// other's addresses in their settings before they listen, so port 0 cannot be
// used.
std::string FreeAddress() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool bound = bind(descriptor, generic, size) == 0 &&
                     getsockname(descriptor, generic, &size) == 0;
  close(descriptor);
  if (!bound)
    throw std::runtime_error("cannot find a free port");
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// The port for operators opens after the one for callers.
bool AnswersOperators(const FleetInstance& instance) {
  return CallOnce(instance.admin_address, {"GET", "/healthz", {}, ""}).status !=
         0;
}

const char* ZoneOf(std::size_t index) {
  return kZones.at(index % kZones.size());
}

// Joins rules of service.jsonc, one per line, each with the comment that the
// format requires.
std::string JoinRules(const std::vector<std::string>& rules) {
  std::ostringstream out;
  for (std::size_t i = 0; i < rules.size(); ++i) {
    out << "    " << rules[i] << (i + 1 < rules.size() ? "," : "")
        << " // TESTS: needed by the fleet of the process tests\n";
  }
  return out.str();
}

std::string BackendRuleText(const std::string& name,
                            const std::string& address,
                            std::size_t index,
                            const std::string& pool,
                            int slots) {
  const nlohmann::json rule = {{"backend", name},       {"address", address},
                               {"zone", ZoneOf(index)}, {"pool", pool},
                               {"kind", "firm"},        {"cost_per_hour", 1},
                               {"slots", slots}};
  return rule.dump();
}

}  // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)),
      folder_(MakeTempDirectory()),
      platform_(options_.programs + "/standin_platform",
                {"--listen", "127.0.0.1:0"}),
      platform_address_(platform_.ReadListeningAddress()),
      key_("test-key-" + RandomHex(16)) {
  StartBackends();
  Append(ConfigApplied{ConfigVersion(1), ConfigVersion(0), ConfigText(100)});
  Append(KeyGranted{KeyId("first"), KeyDigest(Sha256Hex(key_)),
                    CustomerId("kennel")});
  for (int i = 0; i < options_.instances; ++i) {
    FleetInstance& instance = instances_.emplace_back();
    instance.name = "i-" + std::to_string(i + 1);
    instance.address = FreeAddress();
    instance.peer_address = FreeAddress();
    instance.admin_address = FreeAddress();
  }
  for (FleetInstance& instance : instances_) {
    WriteSettings(instance);
    StartRouter(instance);
    if (options_.controllers)
      StartController(instance);
  }
  for (const FleetInstance& instance : instances_)
    WaitUntilServing(instance, key_);
}

Fleet::~Fleet() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Fleet::StartBackends() {
  for (std::size_t i = 0; i < static_cast<std::size_t>(options_.engines); ++i) {
    std::vector<std::string> arguments = options_.engine_arguments;
    if (i < options_.engine_versions.size()) {
      arguments.insert(arguments.end(),
                       {"--engine-version", options_.engine_versions[i]});
    }
    engines_.push_back(std::make_unique<BackendProcess>(
        options_.programs + "/standin_engine", arguments));
  }
  for (int i = 0; i < options_.services; ++i) {
    services_.push_back(std::make_unique<BackendProcess>(
        options_.programs + "/standin_service", std::vector<std::string>()));
  }
}

std::string Fleet::ConfigText(int queue_limit) const {
  std::vector<std::string> zones;
  zones.reserve(kZones.size());
  for (const char* zone : kZones) {
    zones.push_back(
        nlohmann::json({{"zone", zone}, {"region", "region-1"}}).dump());
  }
  std::vector<std::string> backends;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    backends.push_back(BackendRuleText("e-" + std::to_string(i + 1),
                                       engines_[i]->address(), i, "engines",
                                       options_.slots));
  }
  for (std::size_t i = 0; i < services_.size(); ++i) {
    backends.push_back(BackendRuleText("s-" + std::to_string(i + 1),
                                       services_[i]->address(), i, "services",
                                       options_.slots));
  }
  const std::string limit = std::to_string(queue_limit);
  std::ostringstream out;
  out << "{\n  \"zones\": [\n"
      << JoinRules(zones) << "  ],\n  \"pools\": [\n"
      << JoinRules({R"({"pool":"engines","kind":"model","model":"stand-in",)"
                    R"("region":"region-1"})",
                    R"({"pool":"services","kind":"service",)"
                    R"("region":"region-1"})"})
      << "  ],\n  \"backends\": [\n"
      << JoinRules(backends) << "  ],\n  \"classes\": [\n"
      << JoinRules({R"({"class":"chat","tier":0,"first_token_ms":20000,)"
                    R"("inter_token_ms":1000,"queue_limit":)" +
                        limit + "}",
                    R"({"class":"calls","tier":0,"first_token_ms":20000,)"
                    R"("inter_token_ms":0,"queue_limit":)" +
                        limit + "}"})
      << "  ],\n  \"routes\": [\n"
      << JoinRules({R"({"path":"/v1/chat/completions","open":false,)"
                    R"("repeatable":true})",
                    R"({"path":"/v1/certificates","class":"calls",)"
                    R"("pool":"services","open":true,"repeatable":true})",
                    R"({"path":"/v1/orders","class":"calls",)"
                    R"("pool":"services","open":false,"repeatable":true})",
                    R"({"path":"/v1/registrations","class":"calls",)"
                    R"("pool":"services","open":false,"repeatable":false})"})
      << "  ],\n  \"customers\": [\n"
      << JoinRules({R"({"customer":"kennel","share":1,"classes":["chat"]})",
                    R"({"customer":"mill","share":1,"classes":["chat"]})"})
      << "  ],\n  \"limits\": [\n"
      << JoinRules({R"({"limit":"address_ttl_s","value":5})"}) << "  ]\n}\n";
  return out.str();
}

void Fleet::Append(ChangeBody body) {
  HttpTableStore table(platform_address_);
  HttpObjectStore objects(platform_address_);
  ChangeLog log(table, objects);
  const auto appended = log.Append("tests", std::move(body), kStoreTimeout);
  if (!appended)
    throw std::runtime_error("appending to the change log failed: " +
                             appended.error().message);
}

void Fleet::SetPlatformFaults(const std::string& json) {
  const ClientResponse response =
      CallOnce(platform_address_, {"POST", "/faults", {}, json});
  if (response.status != 200)
    throw std::runtime_error("setting the fault switches failed: " +
                             response.body);
}

void Fleet::WriteSettings(FleetInstance& instance) {
  nlohmann::json peers = nlohmann::json::array();
  for (const FleetInstance& other : instances_) {
    if (other.name != instance.name)
      peers.push_back(other.peer_address);
  }
  const std::size_t index =
      static_cast<std::size_t>(std::distance(instances_.data(), &instance));
  const nlohmann::json settings = {
      {"instance", instance.name},
      {"zone", ZoneOf(index)},
      {"region", "region-1"},
      {"listen_address", instance.address},
      {"peer_address", instance.peer_address},
      {"admin_address", instance.admin_address},
      {"platform_address", platform_address_},
      {"admin_token", options_.admin_token},
      {"backend_credential", options_.backend_credential},
      {"threads", 2},
      {"seed_peers", peers}};
  instance.settings_path = folder_ + "/" + instance.name + ".jsonc";
  std::ofstream(instance.settings_path) << settings.dump(2) << "\n";
}

void Fleet::StartRouter(FleetInstance& instance) {
  instance.router = std::make_unique<ChildProcess>(
      options_.programs + "/bamboomountd",
      std::vector<std::string>{"--role", "router", "--settings",
                               instance.settings_path});
}

void Fleet::StartController(FleetInstance& instance) {
  instance.controller = std::make_unique<ChildProcess>(
      options_.programs + "/bamboomountd",
      std::vector<std::string>{"--role", "controller", "--settings",
                               instance.settings_path});
}

void Fleet::WaitUntilServing(const FleetInstance& instance,
                             const std::string& key) {
  const ClientRequest request{
      "GET", "/v1/models", {{"Authorization", "Bearer " + key}}, ""};
  const bool serving = WaitUntil([&] {
    const ClientResponse response = CallOnce(instance.address, request);
    return response.status == 200 &&
           response.body.find("stand-in") != std::string::npos &&
           AnswersOperators(instance);
  });
  if (!serving)
    throw std::runtime_error(instance.name + " does not serve the key in time");
}

std::vector<nlohmann::json> Fleet::ExecutedRequests() {
  std::vector<nlohmann::json> all;
  for (const auto& service : services_) {
    for (nlohmann::json& entry : service->ExecutedRequests())
      all.push_back(std::move(entry));
  }
  return all;
}

std::vector<int> Fleet::RunningProcesses() {
  std::vector<int> pids;
  const auto add = [&pids](ChildProcess& process) {
    if (process.running())
      pids.push_back(process.pid());
  };
  add(platform_);
  for (const auto& backend : engines_)
    add(backend->process());
  for (const auto& backend : services_)
    add(backend->process());
  for (const FleetInstance& instance : instances_) {
    if (instance.router)
      add(*instance.router);
    if (instance.controller)
      add(*instance.controller);
  }
  return pids;
}

}  // namespace bamboomount::support
