#include "platform/row_decoder.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/base64.h"
#include "platform/http_discovery_protocol.h"

namespace bamboomount {
namespace {

const std::string kConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/x/","kind":"streaming",
   "timeout_ms":4000,"target_latency_ms":1500,"priority":2,
   "traffic_split":[{"service":"one","weight":90},{"service":"two","weight":10}],
   "attempts":1,"allow_anonymous":false,"sticky_sessions":true,
   "resume_streams":false,"gap_target_ms":1000},
  {"name":"r2","host":"a.example","prefix":"/y/","kind":"safe","service":"two"},
  {"name":"r3","host":"a.example","prefix":"/z/","kind":"new","service":"two"}],
  "services":[{"name":"one","max_connections":370,"engine":{"slots":64,
   "kv_capacity_tokens":368659,"stride":6},"scaling":{"minimum":1,"maximum":6,
   "boot_time_s":4.0,"spot_price":0.15,"zone_prices":{"za":1.0,"zb":0.8}}},
   {"name":"two"}],
  "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,
   "idle_timeout_ms":400},
  "tenants":[{"name":"mill","api_keys":["k1","k2"],"priority":1}]})";

BOOST_AUTO_TEST_SUITE(row_decoder)

// Guards against settings of the operator that are misread, for example read
// from the wrong field or in the wrong unit.
BOOST_AUTO_TEST_CASE(a_configuration_is_decoded) {
  const auto read = RowDecoder().DecodePolicy(kConfig);
  const TrafficPolicy& policy = *read.value();
  BOOST_TEST((policy.version() == ConfigVersion(7)));
  const Route* stream = policy.FindRoute("a.example", "/x/1");
  BOOST_TEST((stream->kind == RequestKind::kStream));
  BOOST_TEST(stream->shares.size() == 2U);
  BOOST_TEST(stream->target_event_interval.count() == 1000);
  BOOST_TEST(
      (policy.FindRoute("a.example", "/y/")->kind == RequestKind::kIdempotent));
  const Pool* pool = policy.FindPool(PoolId("one"));
  BOOST_TEST(pool->engine->tokens_per_event == 6);
  BOOST_TEST(pool->scaling->boot_time.count() == 4000);
  BOOST_TEST(pool->scaling->zone_prices.at(ZoneId("zb")) == 0.8);
  BOOST_TEST(!policy.FindPool(PoolId("two"))->scaling.has_value());
  BOOST_TEST(policy.limits().body_bytes == 200U);
  BOOST_TEST((policy.FindKey("k2")->tier == Tier(1)));
}

// Guards against figures for cold servers and regions that are read from the
// wrong field or in the wrong unit.
BOOST_AUTO_TEST_CASE(cold_servers_and_regions_are_decoded) {
  const auto read = RowDecoder().DecodePolicy(
      R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/x/",
       "kind":"safe","service":"one","allowed_regions":["north"]}],
       "services":[{"name":"one","cold_start_s":3.5,"cold_per_s":17.0}],
       "tenants":[{"name":"mill","api_keys":["k"],"allowed_regions":["south"]}]
      })");
  const TrafficPolicy& policy = *read.value();
  const Pool* pool = policy.FindPool(PoolId("one"));
  BOOST_TEST(pool->cold_start.count() == 3500);
  BOOST_TEST(pool->cold_requests_per_s == 17.0);
  const Route* route = policy.FindRoute("h", "/x/");
  BOOST_TEST(route->allowed_regions.contains(RegionId("north")));
  BOOST_TEST(policy.FindKey("k")->allowed_regions.contains(RegionId("south")));
  BOOST_TEST(policy.RegionsOf("h").Allows(RegionId("north")));
  BOOST_TEST(!policy.RegionsOf("h").Allows(RegionId("south")));
}

// Guards against another row of the operator that is taken for an evacuation.
BOOST_AUTO_TEST_CASE(evacuations_are_recognized_by_their_keys) {
  const RowDecoder decoder;
  BOOST_TEST((decoder.EvacuatedZone("evacuate/bern-a") == ZoneId("bern-a")));
  BOOST_TEST(!decoder.EvacuatedZone("evacuate/").has_value());
  BOOST_TEST(!decoder.EvacuatedZone("config").has_value());
}

// Guards against a request of an unknown kind that is retried and so runs
// twice.
BOOST_AUTO_TEST_CASE(an_unknown_kind_runs_at_most_once) {
  const auto read = RowDecoder().DecodePolicy(kConfig);
  BOOST_TEST((read.value()->FindRoute("a.example", "/z/")->kind ==
              RequestKind::kAtMostOnce));
}

// Guards against a process that is ended by an exception when another program
// wrote a malformed row.
BOOST_AUTO_TEST_CASE(malformed_rows_are_errors) {
  const RowDecoder decoder;
  for (const std::string value : {"", "{", "[]", "{\"version\":\"x\"}"})
    BOOST_TEST(!decoder.DecodePolicy(value));
  for (const std::string value :
       {"", "7", "{}", R"({"service":7,"address":"a","zone":"z"})",
        R"({"service":"s","address":"a","zone":"z","slots":1,"state":"odd"})"})
    BOOST_TEST(!decoder.DecodeBackend("e", value));
}

// Guards against a number whose conversion is undefined, and against a document
// that is nested deeper than the stack.
BOOST_AUTO_TEST_CASE(a_configuration_with_impossible_numbers_is_an_error) {
  for (const std::string number : {"1e300", "-1e300", "3e9", "-1.5", "1e999"}) {
    const std::string config =
        R"({"version":1,"routes":[{"host":"h","prefix":"/a/","attempts":)" +
        number + "}]}";
    BOOST_TEST(!RowDecoder().DecodePolicy(config), config);
  }
  const auto policy = RowDecoder().DecodePolicy(
      R"({"version":1,"routes":[{"host":"h","prefix":"/a/","service":"s",
          "timeout_ms":9223372036854775807}]})");
  BOOST_TEST((policy.value()->FindRoute("h", "/a/")->timeout <
              std::chrono::hours(24 * 365)));
  constexpr std::size_t kDepth = 1'000'000;
  BOOST_TEST(!RowDecoder().DecodePolicy(R"({"version":1,"routes":)" +
                                        std::string(kDepth, '[') +
                                        std::string(kDepth, ']') + "}"));
}

// Guards against a row of another writer that is taken for a server, although
// nothing can listen at its address or its numbers are out of range.
BOOST_AUTO_TEST_CASE(rows_that_name_no_usable_server_are_errors) {
  const std::string rest =
      R"(,"service":"s","zone":"z","state":"ready","sequence":1,)"
      R"("cold_remaining_ms":0})";
  const std::string address = R"(,"address":"10.0.0.1:8")";
  for (std::string row :
       {R"({"slots":8,"address":"10.0.0.1:65536")",
        R"({"slots":8,"address":"10.0.0.1:0")",
        R"({"slots":8,"address":"10.0.0.1:-1")",
        R"({"slots":8,"address":"10.0.0.1")", R"({"slots":8,"address":":8")"}) {
    row += R"(,"version":"v1")" + rest;
    BOOST_TEST(!RowDecoder().DecodeBackend("e", row), row);
  }
  for (std::string row :
       {R"({"slots":0)", R"({"slots":-1)", R"({"slots":1.5)",
        R"({"slots":1e300)", R"({"slots":1e999)", R"({"slots":4294967297)",
        R"({"slots":99999999999999999999999)", R"({"slots":8,"born":-1)",
        R"({"slots":8,"born":1e300)",
        R"({"slots":8,"born":18446744073709551615)",
        R"({"slots":8,"version":1)"}) {
    row += address;
    if (row.find("version") == std::string::npos)
      row += R"(,"version":"v1")";
    row += rest;
    BOOST_TEST(!RowDecoder().DecodeBackend("e", row), row);
  }
}

// Guards against a backend server that is used although it drains, or is not
// usable because its row has a field that this program does not know.
BOOST_AUTO_TEST_CASE(a_backend_server_is_decoded) {
  const auto server = RowDecoder().DecodeBackend(
      "e-1",
      R"({"service":"s","address":"10.0.0.1:8","zone":"z","slots":64,
          "state":"draining","spot":true,"born":1781246569019,"new":1,
          "version":"v1","sequence":4,"cold_remaining_ms":1500.5})");
  BOOST_TEST(server.value().id == BackendId("e-1"));
  BOOST_TEST(server.value().draining);
  BOOST_TEST(server.value().reclaimable);
  BOOST_TEST(server.value().started_at_ms == 1781246569019);
  BOOST_TEST(server.value().cold_remaining.count() == 1500);
}

// Guards against a row of another writer that is taken for a server although a
// field is missing or of another type.
BOOST_AUTO_TEST_CASE(each_field_of_a_server_is_needed_with_its_type) {
  const auto sound = nlohmann::json::parse(
      R"({"service":"s","address":"10.0.0.1:8","zone":"z","version":"v1",
          "slots":8,"state":"ready","sequence":0,"cold_remaining_ms":0})");
  BOOST_TEST(bool(RowDecoder().DecodeBackend("e", sound.dump())));
  for (const auto& [name, value] : sound.items()) {
    auto row = sound;
    row.erase(name);
    BOOST_TEST(!RowDecoder().DecodeBackend("e", row.dump()), name);
    for (const char* odd : {"null", "[]", "true", "-1", "1e300"}) {
      row[name] = nlohmann::json::parse(odd);
      BOOST_TEST(!RowDecoder().DecodeBackend("e", row.dump()), name);
    }
  }
}

// Guards against row values that change on their way through the store, in
// particular at sizes that need padding, and against invalid base64 that is
// accepted.
BOOST_AUTO_TEST_CASE(base64_round_trips) {
  for (std::size_t size = 0; size < 20; ++size) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
      bytes += static_cast<char>(i * 37);
    BOOST_TEST(DecodeBase64(EncodeBase64(bytes)).value() == bytes);
  }
  BOOST_TEST(EncodeBase64("node-1") == "bm9kZS0x");
  BOOST_TEST(!DecodeBase64("abc").has_value());
  BOOST_TEST(!DecodeBase64("a!c=").has_value());
}

// Guards against callers that find no instance, or readiness checks that fail,
// because a query is misread or the response has another form than callers
// expect.
BOOST_AUTO_TEST_CASE(address_queries_are_decoded) {
  const HttpDiscoveryProtocol calls;
  const auto query = calls.DecodeAddressQuery(
      "/bamboomount/resolve?name=f.example&region=r-1&zone=z-a");
  BOOST_TEST(query->zone == ZoneId("z-a"));
  BOOST_TEST(query->region == RegionId("r-1"));
  BOOST_TEST(!calls.DecodeAddressQuery("/other").has_value());
  BOOST_TEST(calls.IsReadinessProbe("/bamboomount/readiness"));
  BOOST_TEST(calls.EncodeAddresses({{"10.1.0.19:8227"}, Millis(2000)}) ==
             R"({"addresses":["10.1.0.19:8227"],"ttl_s":2.0})");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
