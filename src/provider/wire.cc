#include "provider/wire.h"

#include <nlohmann/json.hpp>

namespace bamboomount::wire {
namespace {

using Json = nlohmann::json;

std::string StateName(ListedState state) {
  return state == ListedState::kLive ? "live" : "leaving";
}

// Any state other than "live" counts as leaving, so that an unknown one gets
// no new work.
ListedState ListedStateFrom(const Json& json) {
  return json.at("state").get<std::string>() == "live" ? ListedState::kLive
                                                       : ListedState::kLeaving;
}

Json ToJson(const Transaction::Write& write) {
  Json json{{"key", write.key}, {"value", nullptr}};
  if (write.value)
    json["value"] = *write.value;
  return json;
}

}  // namespace

Json ToJson(const Transaction& transaction) {
  Json json{{"conditions", Json::array()}, {"writes", Json::array()}};
  for (const auto& condition : transaction.conditions()) {
    json["conditions"].push_back(
        {{"key", condition.key}, {"version", condition.version.value()}});
  }
  for (const auto& write : transaction.writes())
    json["writes"].push_back(ToJson(write));
  return json;
}

Json ToJson(const Row& row) {
  return {
      {"key", row.key}, {"value", row.value}, {"version", row.version.value()}};
}

Json ToJson(const BackendOrder& order) {
  return {{"order_id", order.order_id},
          {"zone", order.zone.value()},
          {"pool", order.pool.value()},
          {"kind", order.kind == BackendKind::kCheap ? "cheap" : "firm"},
          {"count", order.count},
          {"fencing_token", order.fencing_token.value()}};
}

Json ToJson(const UsageReport& report) {
  return {{"window", report.window.value()},
          {"customer", report.customer.value()},
          {"requests", report.requests},
          {"prompt_tokens", report.prompt_tokens.value()},
          {"output_tokens", report.output_tokens.value()},
          {"fencing_token", report.fencing_token.value()}};
}

Json ToJson(const ListedInstance& instance) {
  return {{"instance", instance.instance.value()},
          {"zone", instance.zone.value()},
          {"address", instance.address},
          {"peer_address", instance.peer_address},
          {"admin_address", instance.admin_address},
          {"state", StateName(instance.state)}};
}

Json ToJson(const DirectoryListing& listing) {
  Json json{{"instances", Json::array()}, {"backends", Json::array()}};
  for (const auto& instance : listing.instances)
    json["instances"].push_back(ToJson(instance));
  for (const auto& backend : listing.backends) {
    json["backends"].push_back({{"backend", backend.backend.value()},
                                {"state", StateName(backend.state)}});
  }
  return json;
}

Transaction TransactionFrom(const Json& json) {
  Transaction transaction;
  for (const auto& condition : json.at("conditions")) {
    transaction.Expect(
        condition.at("key").get<std::string>(),
        RowVersion(condition.at("version").get<std::uint64_t>()));
  }
  for (const auto& write : json.at("writes")) {
    const auto key = write.at("key").get<std::string>();
    if (write.at("value").is_null()) {
      transaction.Delete(key);
      continue;
    }
    transaction.Put(key, write.at("value").get<std::string>());
  }
  return transaction;
}

Row RowFrom(const Json& json) {
  return {json.at("key").get<std::string>(),
          json.at("value").get<std::string>(),
          RowVersion(json.at("version").get<std::uint64_t>())};
}

BackendOrder BackendOrderFrom(const Json& json) {
  return {json.at("order_id").get<std::string>(),
          ZoneId(json.at("zone").get<std::string>()),
          PoolId(json.at("pool").get<std::string>()),
          json.at("kind").get<std::string>() == "cheap" ? BackendKind::kCheap
                                                        : BackendKind::kFirm,
          json.at("count").get<int>(),
          FencingToken(json.at("fencing_token").get<std::uint64_t>())};
}

UsageReport UsageReportFrom(const Json& json) {
  return {UsageWindow(json.at("window").get<std::int64_t>()),
          CustomerId(json.at("customer").get<std::string>()),
          json.at("requests").get<std::int64_t>(),
          Tokens(json.at("prompt_tokens").get<std::int64_t>()),
          Tokens(json.at("output_tokens").get<std::int64_t>()),
          FencingToken(json.at("fencing_token").get<std::uint64_t>())};
}

ListedInstance ListedInstanceFrom(const Json& json) {
  return {InstanceId(json.at("instance").get<std::string>()),
          ZoneId(json.at("zone").get<std::string>()),
          json.at("address").get<std::string>(),
          json.at("peer_address").get<std::string>(),
          json.at("admin_address").get<std::string>(),
          ListedStateFrom(json)};
}

DirectoryListing DirectoryListingFrom(const Json& json) {
  DirectoryListing listing;
  for (const auto& instance : json.at("instances"))
    listing.instances.push_back(ListedInstanceFrom(instance));
  for (const auto& backend : json.at("backends")) {
    listing.backends.push_back(
        {BackendId(backend.at("backend").get<std::string>()),
         ListedStateFrom(backend)});
  }
  return listing;
}

}  // namespace bamboomount::wire
