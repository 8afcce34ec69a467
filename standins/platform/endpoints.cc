#include "endpoints.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace bamboomount::standin {
namespace {

using Json = nlohmann::json;

// Required by the TableStore interface; the in-memory table never waits.
constexpr Millis kTableTimeout{1000};

Response JsonResponse(const Json& json, int status = 200) {
  return {status, json.dump()};
}

Response ErrorResponse(int status, const std::string& code) {
  return JsonResponse({{"error", {{"code", code}}}}, status);
}

Response NotFound() {
  return ErrorResponse(404, "not_found");
}

template <typename Entry>
Json ToJsonArray(const std::vector<Entry>& entries) {
  Json list = Json::array();
  for (const Entry& entry : entries)
    list.push_back(wire::ToJson(entry));
  return list;
}

Response TableResponse(Response response, StoreEra era) {
  response.era = era;
  return response;
}

Response CommitTable(PlatformState& state, const Call& call) {
  const auto outcome =
      state.table
          .CommitWithEra(wire::TransactionFrom(Json::parse(call.body)),
                         kTableTimeout)
          .value();
  return TableResponse(
      JsonResponse({{"committed", outcome.value == CommitOutcome::kCommitted}}),
      outcome.era);
}

Response ReadRow(PlatformState& state, const Call& call) {
  const auto row =
      state.table.ReadWithEra(call.parameter, kTableTimeout).value();
  return TableResponse(
      row.value ? JsonResponse(wire::ToJson(*row.value)) : NotFound(), row.era);
}

Response ScanTable(PlatformState& state, const Call& call) {
  const auto rows =
      state.table.ScanWithEra(call.parameter, kTableTimeout).value();
  return TableResponse(JsonResponse({{"rows", ToJsonArray(rows.value)}}),
                       rows.era);
}

Response PutObject(PlatformState& state, const Call& call) {
  const std::lock_guard lock(state.objects_mutex);
  state.objects[call.parameter] = call.body;
  return JsonResponse(Json::object());
}

Response GetObject(PlatformState& state, const Call& call) {
  const std::lock_guard lock(state.objects_mutex);
  const auto found = state.objects.find(call.parameter);
  return found == state.objects.end() ? NotFound()
                                      : Response{200, found->second};
}

Response SubmitOrder(PlatformState& state, const Call& call) {
  if (!state.orders.Append(wire::BackendOrderFrom(Json::parse(call.body))))
    return ErrorResponse(409, "stale_fencing_token");
  return JsonResponse(Json::object(), 202);
}

Response GetOrders(PlatformState& state, const Call& call) {
  const auto orders = state.orders.entries();
  if (call.parameter.empty())
    return JsonResponse({{"orders", ToJsonArray(orders)}});
  const auto found = std::find_if(
      orders.begin(), orders.end(),
      [&](const auto& order) { return order.order_id == call.parameter; });
  return found == orders.end() ? NotFound()
                               : JsonResponse(wire::ToJson(*found));
}

Response SubmitUsage(PlatformState& state, const Call& call) {
  if (!state.usage.Append(wire::UsageReportFrom(Json::parse(call.body))))
    return ErrorResponse(409, "stale_fencing_token");
  return JsonResponse(Json::object(), 202);
}

Response GetUsage(PlatformState& state, const Call&) {
  return JsonResponse({{"usage", ToJsonArray(state.usage.entries())}});
}

Response RegisterInstance(PlatformState& state, const Call& call) {
  state.directory.SetInstance(wire::ListedInstanceFrom(Json::parse(call.body)));
  return JsonResponse(Json::object());
}

Response GetInstances(PlatformState& state, const Call&) {
  return JsonResponse(wire::ToJson(state.directory.LaggedListing()));
}

Response GetWeights(PlatformState& state, const Call& call) {
  if (!state.weights.Allow())
    return ErrorResponse(429, "rate_limited");
  return {200, "weights of " + call.parameter};
}

// Sets the switches of FaultSwitches and these further ones: "check_fencing"
// (for orders and usage), "directory_lag_ms", "weights_per_second", "backends"
// (backend servers to add to the directory or replace there),
// "remove_instances" (ids of instances to remove from it), "save_table_copy"
// and "restore_table_copy" (if true, the table is copied now, or comes back
// from the copy).
Response SetFaults(PlatformState& state, const Call& call) {
  const Json json = Json::parse(call.body);
  state.faults.Apply(json);
  if (json.contains("check_fencing")) {
    const bool check = json.at("check_fencing").get<bool>();
    state.orders.set_check_tokens(check);
    state.usage.set_check_tokens(check);
  }
  if (json.contains("directory_lag_ms")) {
    state.directory.set_lag(
        Millis(json.at("directory_lag_ms").get<std::int64_t>()));
  }
  if (json.contains("weights_per_second"))
    state.weights.set_per_second(json.at("weights_per_second").get<int>());
  if (json.value("save_table_copy", false))
    state.table.SaveCopy();
  if (json.value("restore_table_copy", false))
    state.table.RestoreCopy();
  const DirectoryListing listed = wire::DirectoryListingFrom(
      {{"instances", Json::array()},
       {"backends", json.value("backends", Json::array())}});
  for (const ListedBackend& backend : listed.backends)
    state.directory.SetBackend(backend);
  for (const Json& instance : json.value("remove_instances", Json::array()))
    state.directory.RemoveInstance(InstanceId(instance.get<std::string>()));
  return JsonResponse(Json::object());
}

const std::vector<Endpoint>& Endpoints() {
  static const std::vector<Endpoint> endpoints{
      {"POST", "/table/commit", "", CommitTable},
      {"GET", "/table/row", "key", ReadRow},
      {"GET", "/table/scan", "prefix", ScanTable},
      {"PUT", "/objects", "name", PutObject},
      {"GET", "/objects", "name", GetObject},
      {"POST", "/orders", "", SubmitOrder},
      {"GET", "/orders", "order_id", GetOrders},
      {"POST", "/usage", "", SubmitUsage},
      {"GET", "/usage", "", GetUsage},
      {"POST", "/instances", "", RegisterInstance},
      {"GET", "/instances", "", GetInstances},
      {"GET", "/weights", "model", GetWeights},
      {"POST", "/faults", "", SetFaults},
  };
  return endpoints;
}

}  // namespace

const Endpoint* FindEndpoint(const std::string& method,
                             const std::string& path) {
  for (const Endpoint& endpoint : Endpoints()) {
    if (endpoint.method == method && endpoint.path == path)
      return &endpoint;
  }
  return nullptr;
}

}  // namespace bamboomount::standin
