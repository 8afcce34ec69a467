// Checks of what servers, other writers of the store and other instances send
// in bodies, rows and datagrams.
#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fuzz/checks.h"
#include "fuzz/http_grammar.h"
#include "fuzz/strict_http_reader.h"
#include "gateway/forwarding/endpoint.h"
#include "gateway/forwarding/forwarded_head.h"
#include "gateway/forwarding/sse_framer.h"
#include "gateway/replication/gossip_message.h"
#include "gateway/replication/peer_rows.h"
#include "gateway/streams/stream_origin_message.h"
#include "platform/http_message_protocol.h"
#include "platform/row_decoder.h"

namespace bamboomount::fuzz {
namespace {

using Json = nlohmann::json;
using namespace std::string_view_literals;

void Require(bool holds, const std::string& property) {
  if (!holds)
    throw Violation(property);
}

struct GeneratedEvent {
  std::string bytes;
  // The place of the event in its stream; 0 if the server spoilt it.
  int number = 0;
};

GeneratedEvent GenerateEvent(int number, Choices& choices) {
  constexpr std::array kOddIds{"id:"sv,
                               "id: 0"sv,
                               "id: -1"sv,
                               "id: x"sv,
                               "id: 1\0002"sv,
                               "id: 1\r"sv,
                               "id: 1 \x7f"sv,
                               "id"sv,
                               "id: 9:"sv,
                               "id: \xc3\xa9"sv,
                               "id: 99999999999999999999999"sv};
  constexpr std::array kSizes{200U, 5'000U, 65'535U, 65'536U, 70'000U};
  const std::string end = choices.OneIn(4) ? "\r\n" : "\n";
  GeneratedEvent event{"", number};
  std::string id = "id: " + std::to_string(number);
  if (choices.OneIn(8)) {
    event.number = 0;
    id = choices.OneIn(4)
             ? "id: " + std::string(kSizes[choices.Below(kSizes.size())], '7')
             : std::string(choices.Pick(kOddIds));
  }
  const std::string data = "data: piece " + std::to_string(number);
  event.bytes =
      choices.OneIn(4) ? data + end + id + end : id + end + data + end;
  event.bytes += end;
  return event;
}

// The head of the request that goes on after the last event.
StrictMessage ReadResumingHead(const std::string& last_event_id) {
  const http::request<http::string_body> request(http::verb::get,
                                                 "/talk/stream", 11);
  ForwardingHead head;
  head.server = BackendId("server");
  head.resume_after = last_event_id;
  try {
    return ReadRequestStrictly(
        EncodeForwardedHead(request, head, HttpMessageProtocol()));
  } catch (const std::exception& error) {
    throw Violation(std::string("no head can be made that resumes a stream: ") +
                    error.what());
  }
}

constexpr std::array kOddValues{"null"sv,
                                "true"sv,
                                "\"x\""sv,
                                "\"\""sv,
                                "-1"sv,
                                "0"sv,
                                "1.5"sv,
                                "1e300"sv,
                                "1e999"sv,
                                "[]"sv,
                                "{}"sv,
                                "18446744073709551615"sv,
                                "-1e300"sv,
                                "[[[]]]"sv,
                                "{\"a\":1}"sv,
                                "\"127.0.0.1:0\""sv,
                                "\"10.0.0.1:70000\""sv,
                                "4294967297"sv,
                                "\"ready\""sv,
                                "[7]"sv};

std::string GenerateOddValue(Choices& choices) {
  constexpr std::size_t kMaxDepth = 20'000;
  if (choices.OneIn(32)) {
    const std::size_t depth = choices.Below(kMaxDepth);
    return std::string(depth, '[') + std::string(depth, ']');
  }
  return std::string(choices.Pick(kOddValues));
}

// Replaces or removes the values of a JSON text at some places.
std::string SpoilJson(const Json& sound, Choices& choices, bool& is_sound) {
  constexpr char kMark[] = "@@";
  Json flat = sound.flatten();
  std::vector<std::string> odd_values;
  is_sound = true;
  while (choices.OneIn(2)) {
    is_sound = false;
    auto place = flat.begin();
    std::advance(place, choices.Below(flat.size()));
    if (choices.OneIn(3)) {
      flat.erase(place);
      if (flat.empty())
        return "{}";
    } else {
      *place = kMark + std::to_string(odd_values.size()) + kMark;
      odd_values.push_back(GenerateOddValue(choices));
    }
  }
  std::string text;
  try {
    text = flat.unflatten().dump();
  } catch (const Json::exception&) {
    return "[]";
  }
  for (std::size_t i = 0; i < odd_values.size(); ++i) {
    const std::string mark = "\"" + (kMark + std::to_string(i) + kMark) + "\"";
    const std::size_t position = text.find(mark);
    if (position != std::string::npos)
      text.replace(position, mark.size(), odd_values[i]);
  }
  if (choices.OneIn(8)) {
    is_sound = false;
    text[choices.Below(text.size())] = choices.Character();
  }
  return text;
}

bool IsText(const Json& row, const char* name) {
  return row.contains(name) && row[name].is_string();
}

bool IsWhole(const Json& row, const char* name) {
  return row.contains(name) && row[name].is_number_integer() &&
         (row[name].is_number_unsigned() || row[name].get<std::int64_t>() >= 0);
}

// Whether the row has the fields that the pages of the platform name, each of
// its type.
bool NamesServer(const std::string& text) {
  constexpr double kMaxColdMs = 1e9;
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_object())
    return false;
  for (const char* name : {"service", "address", "zone", "version", "state"}) {
    if (!IsText(row, name))
      return false;
  }
  if (!IsWhole(row, "slots") || !IsWhole(row, "sequence") ||
      row["slots"] == 0 || (row.contains("born") && !IsWhole(row, "born")) ||
      (row.contains("spot") && !row["spot"].is_boolean()))
    return false;
  const auto cold = row.find("cold_remaining_ms");
  return cold != row.end() && cold->is_number() && cold->get<double>() >= 0 &&
         cold->get<double>() <= kMaxColdMs &&
         (row["state"] == "ready" || row["state"] == "draining") &&
         ParseIpEndpoint(row["address"].get<std::string>()).has_value();
}

Json SoundServerRow() {
  return {{"service", "desk"}, {"address", "127.0.0.1:8080"},
          {"zone", "a"},       {"version", "v1"},
          {"slots", 8},        {"state", "ready"},
          {"sequence", 4},     {"cold_remaining_ms", 0},
          {"spot", true},      {"born", 1'781'246'569'019}};
}

Json SoundConfig() {
  return Json::parse(R"({"version":7,"routes":[{"name":"r1","host":"h",
    "prefix":"/a/","kind":"streaming","timeout_ms":4000,"priority":2,
    "target_latency_ms":1500,"attempts":2,"allow_anonymous":false,
    "traffic_split":[{"service":"one","weight":90}],"resume_streams":true,
    "gap_target_ms":400,"allowed_regions":["north"]}],
    "services":[{"name":"one","max_connections":3,"cold_start_s":3.5,
    "cold_per_s":17.0,"engine":{"slots":64,"kv_capacity_tokens":90000,
    "stride":6,"kv_token_bytes":9.5,"link_mbps":900},"scaling":{"minimum":1,
    "maximum":6,"boot_time_s":4.0,"spot_price":0.1,"zone_prices":{"a":1.0}}}],
    "limits":{"max_header_bytes":8192,"max_body_bytes":99999,
    "header_timeout_ms":300,"idle_timeout_ms":400},
    "tenants":[{"name":"mill","api_keys":["k1"],"priority":1,
    "allowed_regions":["north"]}]})");
}

GossipMessage SoundGossip() {
  GossipMessage message;
  message.instance = InstanceId("i-1");
  message.sequence = 7;
  message.member_status.wall_offset = Millis(5);
  message.holder_statement =
      HolderStatement{InstanceId("i-2"), FencingToken(3), Millis(40)};
  message.loads.emplace();
  (*message.loads)[BackendId("b-1")] = {};
  message.demand = {{PoolId("p"), Tier(1), CustomerId("mill"), 0.5}};
  message.unreachable = {{BackendId("b-2"), Millis(9)}};
  message.ejected = {{BackendId("b-3"), Millis(9)}};
  message.part_evidence = {
      {PromptPartId(1), {{BackendId("b-1"), Millis(1)}}, Millis(2)}};
  message.heartbeats = {{77, Millis(3)}};
  UsageUpdate usage;
  usage.incarnation = Incarnation("i-1-1");
  usage.usage.instance = message.instance;
  usage.usage.windows[WindowNumber(4)][CustomerId("mill")] = 12;
  message.usage_update = usage;
  message.usage_receipt =
      UsageReceipt{Incarnation("i-2-1"), FencingToken(3), WindowNumber(3)};
  return message;
}

StreamOriginMessage SoundStreamOrigins(Choices& choices) {
  StreamOriginMessage message;
  constexpr std::size_t kKinds = 3;
  constexpr std::size_t kAnswers = 4;
  message.kind = static_cast<StreamOriginMessage::Kind>(choices.Below(kKinds));
  message.sender = InstanceId("i-1");
  message.query = 1 + choices.Below(3);
  message.answer = static_cast<StreamOriginAnswer>(choices.Below(kAnswers));
  const std::size_t entries = choices.Below(4);
  for (std::size_t i = 0; i < entries; ++i)
    message.entries.push_back({RequestId("r" + std::to_string(i)),
                               {PoolId("p"), SoftwareVersion("v1")}});
  return message;
}

// Changes bytes of a message and encloses it in arrays.
std::string SpoilBytes(std::string bytes, Choices& choices, bool& is_sound) {
  constexpr std::size_t kMaxDepth = 65'000;
  constexpr char kArrayOfOne = '\x91';
  is_sound = true;
  while (choices.OneIn(2) && !bytes.empty()) {
    is_sound = false;
    const std::size_t position = choices.Below(bytes.size());
    switch (choices.Below(4)) {
      case 0:
        bytes[position] = choices.Character();
        break;
      case 1:
        bytes.insert(position, 1, choices.Character());
        break;
      case 2:
        bytes.erase(position, 1 + choices.Below(4));
        break;
      default:
        bytes.resize(position);
    }
  }
  if (choices.OneIn(32)) {
    is_sound = false;
    bytes.insert(0, choices.Below(kMaxDepth), kArrayOfOne);
  }
  return bytes;
}

void CheckServerRow(Choices& choices) {
  bool is_sound = true;
  const std::string text = SpoilJson(SoundServerRow(), choices, is_sound);
  const auto server = RowDecoder().DecodeBackend("b-1", text);
  Require(!server || NamesServer(text),
          "a row that names no server is used: " + text.substr(0, 400));
  Require(server || !is_sound, "the row of a sound server is refused");
}

void CheckConfig(Choices& choices) {
  bool is_sound = true;
  const std::string text = SpoilJson(SoundConfig(), choices, is_sound);
  const auto policy = RowDecoder().DecodePolicy(text);
  Require(policy || !is_sound, "a sound configuration is refused");
}

}  // namespace

void CheckEvents(Choices& choices) {
  constexpr int kMaxEvents = 6;
  constexpr std::size_t kMaxIdBytes = 4096;
  std::vector<GeneratedEvent> events;
  std::string stream;
  do {
    events.push_back(
        GenerateEvent(static_cast<int>(events.size()) + 1, choices));
    stream += events.back().bytes;
  } while (events.size() < kMaxEvents && !choices.OneIn(6));
  SseFramer framer;
  std::string passed_on;
  for (const std::string& piece : Cut(stream, choices))
    passed_on += framer.Add(piece);
  Require(passed_on.size() + framer.partial_bytes() == stream.size() &&
              stream.starts_with(passed_on),
          "events were changed");
  SseFramer whole;
  Require(whole.Add(stream) == passed_on &&
              whole.last_event_id() == framer.last_event_id(),
          "the events depend on how the stream was cut");
  const std::string& id = framer.last_event_id();
  Require(id.size() <= kMaxIdBytes, "the id of an event is too long to keep");
  const StrictMessage head = ReadResumingHead(id);
  Require(head.verdict == StrictVerdict::kComplete &&
              head.Field("Last-Event-Id") == id,
          "the head that resumes a stream says something else");
  int last_sound = 0;
  std::size_t end = 0;
  bool only_sound = true;
  for (const GeneratedEvent& event : events) {
    end += event.bytes.size();
    if (end > passed_on.size())
      break;
    only_sound = only_sound && event.number > 0;
    last_sound = std::max(last_sound, event.number);
  }
  if (only_sound && last_sound > 0)
    Require(id == std::to_string(last_sound),
            "a sound stream is resumed at another place");
  if (last_sound > 0)
    Require(!id.empty() &&
                id.find_first_not_of("0123456789") == std::string::npos &&
                std::stoull(id) >= static_cast<unsigned>(last_sound),
            "the place of a stream went back");
}

void CheckRows(Choices& choices) {
  if (choices.OneIn(3))
    CheckConfig(choices);
  else
    CheckServerRow(choices);
}

std::string GeneratePeerDatagram(Choices& choices) {
  // Longer ones are truncated by the receiver.
  constexpr std::size_t kMaxBytes = 32'768;
  bool is_sound = true;
  const auto encoded =
      choices.OneIn(2) ? EncodeStreamOriginMessage(SoundStreamOrigins(choices))
                       : EncodeGossipMessage(SoundGossip());
  return SpoilBytes({encoded.begin(), encoded.end()}, choices, is_sound)
      .substr(0, kMaxBytes);
}

// A datagram that is taken for a message on streams names the same message when
// it is encoded again.
void CheckStreamOriginMessage(Choices& choices) {
  bool is_sound = true;
  const auto encoded = EncodeStreamOriginMessage(SoundStreamOrigins(choices));
  const std::string bytes =
      SpoilBytes({encoded.begin(), encoded.end()}, choices, is_sound);
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  if (!IsStreamOriginMessage(data, bytes.size())) {
    Require(!is_sound, "a sound message on streams is not recognized");
    return;
  }
  Require(!DecodeGossipMessage(data, bytes.size()),
          "a message is both one on streams and a gossip message");
  const auto decoded = DecodeStreamOriginMessage(data, bytes.size());
  Require(!is_sound || (decoded &&
                        EncodeStreamOriginMessage(decoded.value()) == encoded),
          "a sound message on streams is refused or changed");
  if (!decoded)
    return;
  // Encoding throws if a text of a peer cannot be sent on.
  const auto again = EncodeStreamOriginMessage(decoded.value());
  const auto same = DecodeStreamOriginMessage(again.data(), again.size());
  Require(same && EncodeStreamOriginMessage(same.value()) == again,
          "a message on streams changes when it is sent on");
}

void CheckPeerMessages(Choices& choices) {
  bool is_sound = true;
  const std::size_t kind = choices.Below(4);
  if (kind == 2) {
    CheckStreamOriginMessage(choices);
    return;
  }
  if (kind != 0) {
    PeerRows rows;
    rows.rows = {{"t", "k1", "v1", RowVersion(3), false},
                 {"t", "k2", "", RowVersion(4), true}};
    rows.status = {RowVersion(4), {StoreEra(1), RowVersion(5)}, Millis(6), 7};
    PeerRowsEncoder encoder;
    const std::string bytes =
        SpoilBytes(encoder.Encode({"t", {StoreEra(1), RowVersion(2)}}, rows),
                   choices, is_sound);
    const auto decoded = DecodePeerRows("t", bytes);
    Require(!is_sound || (decoded && decoded.value().rows.size() == 2),
            "sound rows of a peer are refused");
    return;
  }
  const auto encoded = EncodeGossipMessage(SoundGossip());
  const std::string bytes =
      SpoilBytes({encoded.begin(), encoded.end()}, choices, is_sound);
  const auto decoded = DecodeGossipMessage(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  Require(
      !is_sound || (decoded && EncodeGossipMessage(decoded.value()) == encoded),
      "a sound message of a peer is refused or changed");
}

}  // namespace bamboomount::fuzz
