#include "entry_fixture/entry_fleet.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

std::filesystem::path MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "entry-XXXXXX").string();
  if (!mkdtemp(name.data()))
    throw std::runtime_error("cannot create a temporary folder");
  return name;
}

std::string WriteSettings(const std::string& name,
                          const std::string& store_address,
                          const std::filesystem::path& folder,
                          const json& settings) {
  json all{{"instance", name},
           {"zone", "z"},
           {"region", "r"},
           {"caller_address", "127.0.0.1:0"},
           {"readiness_address", "127.0.0.1:0"},
           {"directory_address", "127.0.0.1:0"},
           {"store_address", store_address}};
  all.update(settings);
  const std::filesystem::path path = folder / (name + ".json");
  std::ofstream(path) << all.dump();
  return path.string();
}

}  // namespace

json MakeRoute(const std::string& prefix,
               const std::string& kind,
               bool resumable) {
  return {{"name", prefix},
          {"host", "h.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", 20000},
          {"target_latency_ms", 5000},
          {"priority", 1},
          {"service", "pool"},
          {"attempts", 2},
          {"allow_anonymous", false},
          {"resume_streams", resumable}};
}

json MakeConfig(int version, const json& customers) {
  json open = MakeRoute("/open/", "safe", false);
  open["allow_anonymous"] = true;
  return json{{"version", version},
              {"routes",
               {MakeRoute("/lookup/", "safe", false),
                MakeRoute("/book/", "unsafe", false),
                MakeRoute("/talk/", "streaming", false),
                MakeRoute("/resume/", "streaming", true), open}},
              {"services", {{{"name", "pool"}, {"max_connections", 100}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 100000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants", customers}};
}

EntryInstance::EntryInstance(const std::string& name,
                             const std::string& store_address,
                             const std::filesystem::path& folder,
                             const json& settings)
    : process_(support::ProgramPath("bamboomount_entry"),
               {"--settings",
                WriteSettings(name, store_address, folder, settings)}) {
  while (caller_address_.empty()) {
    const auto line = process_.ReadLine();
    if (!line)
      throw std::runtime_error(
          "the entry instance exited before it was listening");
    const json event = json::parse(*line);
    lines_.push_back(event);
    if (event.value("name", "") != "gateway_started")
      continue;
    caller_address_ = event.at("callers");
    readiness_address_ = event.at("readiness");
    directory_address_ = event.at("directory");
  }
  reader_ = std::thread([this] { ReadLog(); });
}

EntryInstance::~EntryInstance() {
  process_.Signal(SIGKILL);
  reader_.join();
}

void EntryInstance::ReadLog() {
  while (const auto line = process_.ReadLine(std::chrono::hours(1))) {
    const std::lock_guard lock(mutex_);
    lines_.push_back(json::parse(*line, nullptr, false));
  }
}

std::vector<json> EntryInstance::LogLines() {
  const std::lock_guard lock(mutex_);
  return lines_;
}

bool EntryInstance::IsReady() const {
  return support::CallOnce(readiness_address_,
                           {"GET", "/bamboomount/readiness", {}, ""})
             .status == kOk;
}

void EntryInstance::WaitUntilReady() const {
  if (!support::WaitUntil([this] { return IsReady(); }))
    throw std::runtime_error("the entry instance did not become ready");
}

EntryFleet::EntryFleet() : folder_(MakeFolder()) {}

EntryFleet::~EntryFleet() {
  instances_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

BackendStandin& EntryFleet::AddBackend(const std::string& id,
                                       const std::string& pool,
                                       const std::string& version) {
  backends_.push_back(std::make_unique<BackendStandin>(id, version));
  BackendStandin& backend = *backends_.back();
  store_.Put("servers", id, backend.RowValue(pool));
  return backend;
}

EntryInstance& EntryFleet::AddInstance(const std::string& name,
                                       const json& settings) {
  instances_.push_back(std::make_unique<EntryInstance>(name, store_.address(),
                                                       folder_, settings));
  return *instances_.back();
}

json EntryFleet::DefaultCustomers() const {
  return json::array({{{"name", "mill"}, {"api_keys", {"key-mill"}}},
                      {{"name", "kennel"}, {"api_keys", {"key-kennel"}}}});
}

void EntryFleet::Configure(int version, const json& customers) {
  store_.Put("op", "config", MakeConfig(version, customers).dump());
}

support::ClientRequest MakeRequest(const std::string& method,
                                   const std::string& target,
                                   const std::string& key) {
  static std::atomic<int> next{1};
  support::ClientRequest request{method, target, {}, ""};
  request.headers = {
      {"Host", "h.example"},
      {"X-Bamboomount-Request-Id", "request-" + std::to_string(next++)},
      {"X-Bamboomount-Deadline-Milliseconds", "15000"}};
  if (!key.empty())
    request.headers.emplace_back("X-Api-Key", key);
  return request;
}

support::ClientResponse Call(const EntryInstance& instance,
                             const support::ClientRequest& request) {
  return support::CallOnce(instance.caller_address(), request);
}

}  // namespace bamboomount::entry_test
