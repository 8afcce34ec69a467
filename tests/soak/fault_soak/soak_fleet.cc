#include "soak/fault_soak/soak_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include "support/wait_until.h"

namespace bamboomount::soak {
namespace {

using entry_test::BackendStandin;
using entry_test::EntryInstance;
using nlohmann::json;
using support::TcpProxy;

constexpr int kOk = 200;
constexpr char kPool[] = "pool";

std::filesystem::path MakeTemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (!mkdtemp(name.data()))
    throw std::runtime_error("no temporary folder");
  return name;
}

json InstanceSettings(const std::string& store_address,
                      const std::string& orders_address) {
  return {{"peer_address", "127.0.0.1:0"},
          {"store_address", store_address},
          {"orders_address", orders_address},
          {"duties", {"usage_reporting"}},
          {"usage_window_s", 2},
          {"lease_ms", 1500},
          {"retry_ratio", 0.2},
          {"retry_slack", 20},
          {"retry_window_s", 10}};
}

}  // namespace

SoakFleet::SoakFleet(int instances, int backends)
    : folder_(MakeTemporaryFolder()) {
  view_.keys = {{"mill", "key-mill-0"}, {"kennel", "key-kennel-0"}};
  for (int i = 0; i < backends; ++i)
    AddBackend();
  ChangeConfig(false);
  for (int i = 1; i <= instances; ++i) {
    slots_.push_back({"i-" + std::to_string(i),
                      std::make_unique<TcpProxy>(store_.address()),
                      nullptr,
                      0,
                      {}});
  }
  for (InstanceSlot& slot : slots_)
    StartInstance(slot);
}

SoakFleet::~SoakFleet() {
  slots_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

CallerView SoakFleet::View() {
  const std::lock_guard lock(mutex_);
  return view_;
}

void SoakFleet::StartInstance(InstanceSlot& slot) {
  ++slot.start_count;
  slot.shutdown_requested_at.reset();
  slot.instance = std::make_shared<EntryInstance>(
      slot.name, store_.address(), folder_,
      InstanceSettings(slot.store_link->address(), store_.address()));
  const std::lock_guard lock(mutex_);
  view_.endpoints.push_back({slot.instance->caller_address(), slot.process()});
}

void SoakFleet::RemoveInstance(InstanceSlot& slot) {
  logs_[slot.process()] = slot.instance->LogLines();
  slot.instance.reset();
  const std::lock_guard lock(mutex_);
  std::erase_if(view_.endpoints, [&slot](const Endpoint& endpoint) {
    return endpoint.process == slot.process();
  });
}

nlohmann::json SoakFleet::Customers() const {
  json customers = json::array();
  for (const Credential& credential : view_.keys)
    customers.push_back(
        {{"name", credential.customer}, {"api_keys", {credential.key}}});
  return customers;
}

void SoakFleet::ChangeConfig(bool rotate_key) {
  CallerView next = View();
  ++next.version;
  Credential old;
  if (rotate_key) {
    Credential& credential =
        next.keys[static_cast<std::size_t>(next.version) % next.keys.size()];
    old = credential;
    credential.key =
        "key-" + credential.customer + "-" + std::to_string(next.version);
    next.withdrawn.push_back(old);
  }
  {
    const std::lock_guard lock(mutex_);
    view_.keys = next.keys;
  }
  json config = entry_test::MakeConfig(next.version, Customers());
  // Each version has a route that no other one has.
  config["routes"].push_back(entry_test::MakeRoute(
      "/v" + std::to_string(next.version) + "/", "safe", false));
  store_.Put("op", "config", config.dump());
  if (rotate_key)
    withdrawals_.push_back({old.key, std::chrono::steady_clock::now()});
  const std::lock_guard lock(mutex_);
  view_.version = next.version;
  view_.withdrawn = next.withdrawn;
}

std::string SoakFleet::BackendRow(const SoakBackend& backend,
                                  bool draining) const {
  json row = json::parse(backend.standin->RowValue(kPool, draining));
  row["address"] = backend.link->address();
  return row.dump();
}

void SoakFleet::AddBackend() {
  const std::string id = "e-" + std::to_string(backends_.size() + 1);
  SoakBackend backend;
  backend.standin = std::make_unique<BackendStandin>(id);
  backend.link = std::make_unique<TcpProxy>(backend.standin->address());
  store_.Put("servers", id, BackendRow(backend, false));
  backends_.push_back(std::move(backend));
}

void SoakFleet::RetireBackend(SoakBackend& backend, bool announced) {
  backend.listed = false;
  const std::string& id = backend.standin->id();
  if (announced)
    store_.Put("servers", id, BackendRow(backend, true));
  else
    store_.Remove("servers", id);
  retirements_.push_back({id, std::chrono::steady_clock::now()});
}

bool SoakFleet::ServesNewestConfig(const InstanceSlot& slot) {
  const CallerView view = View();
  const auto request = entry_test::MakeRequest(
      "GET", "/v" + std::to_string(view.version) + "/recovered",
      view.keys.front().key);
  return slot.instance &&
         entry_test::Call(*slot.instance, request).status == kOk;
}

std::vector<std::string> SoakFleet::AwaitRecovery() {
  std::vector<std::string> missing;
  for (const InstanceSlot& slot : slots_) {
    if (!support::WaitUntil([&] { return ServesNewestConfig(slot); }))
      missing.push_back(slot.process());
  }
  return missing;
}

void SoakFleet::CollectObservations(Observations& observations) {
  observations.withdrawals = withdrawals_;
  observations.retirements = retirements_;
  observations.usage = store_.UsageReports();
  for (SoakBackend& backend : backends_) {
    for (const entry_test::Arrival& arrival : backend.standin->Arrivals()) {
      const standin::HttpRequest& request = arrival.request;
      if (request.path().ends_with("/recovered"))
        continue;
      observations.arrivals.push_back(
          {backend.standin->id(), request.header("X-Bamboomount-Request-Id"),
           request.header("X-Bamboomount-Tenant"),
           !request.header("X-Api-Key").empty(), arrival.ran, arrival.at});
    }
  }
  std::sort(observations.arrivals.begin(), observations.arrivals.end(),
            [](const BackendArrival& a, const BackendArrival& b) {
              return a.at < b.at;
            });
}

void SoakFleet::WriteLogs(const std::filesystem::path& folder) {
  for (InstanceSlot& slot : slots_) {
    if (slot.instance)
      logs_[slot.process()] = slot.instance->LogLines();
  }
  std::filesystem::create_directories(folder);
  for (const auto& [process, lines] : logs_) {
    std::ofstream file(folder / (process + ".log"));
    for (const json& line : lines)
      file << line.dump() << "\n";
  }
}

}  // namespace bamboomount::soak
