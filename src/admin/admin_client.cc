#include "admin/admin_client.h"

#include <cxxtools/query_params.h>

#include <utility>

#include "admin/internal/operator_json.h"
#include "provider/provider.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;

Error UnreachableError(const std::string& address, const Error& cause) {
  return {
      ErrorCode::kNoBackend, cause.verdict, address + ": " + cause.message, {}};
}

ErrorCode ParseErrorCode(const std::string& name) {
  for (int i = 0; i <= static_cast<int>(ErrorCode::kInternal); ++i) {
    const auto code = static_cast<ErrorCode>(i);
    if (ToString(code) == name)
      return code;
  }
  return ErrorCode::kInternal;
}

Error DecodeError(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error"))
    return {ErrorCode::kInternal, RunVerdict::kMayHaveRun, body, {}};
  const Json& error = json.at("error");
  return {ParseErrorCode(error.value("code", "")),
          error.value("ran", "unknown") == "no" ? RunVerdict::kNotRun
                                                : RunVerdict::kMayHaveRun,
          error.value("message", ""),
          {}};
}

template <typename T>
Result<T> Decode(const Result<std::string>& body) {
  if (!body)
    return body.error();
  try {
    return Json::parse(body.value()).get<T>();
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kMayHaveRun,
                 std::string("malformed response: ") + error.what(),
                 {}};
  }
}

template <typename T>
std::string Encode(const T& request) {
  return Json(request).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

AdminClient::AdminClient(std::string address,
                         std::string admin_token,
                         Millis timeout)
    : address_(std::move(address)),
      token_(std::move(admin_token)),
      timeout_(timeout) {}

Result<FleetStatus> AdminClient::Status() const {
  return Decode<FleetStatus>(Get("/admin/status", {}));
}

Result<InstanceStatus> AdminClient::Position() const {
  return Decode<InstanceStatus>(Get("/admin/position", {}));
}

Result<ConfigReply> AdminClient::Config(
    std::optional<ConfigVersion> version) const {
  return Decode<ConfigReply>(Get(
      "/admin/config",
      version ? "version=" + std::to_string(version->value()) : std::string()));
}

Result<std::vector<ConfigVersionEntry>> AdminClient::ConfigHistory() const {
  return Decode<std::vector<ConfigVersionEntry>>(
      Get("/admin/config/history", {}));
}

Result<ChangeReply> AdminClient::ApplyConfig(
    const ApplyConfigRequest& request) const {
  return Decode<ChangeReply>(Post("/admin/config", Encode(request)));
}

Result<KeyListing> AdminClient::Keys() const {
  return Decode<KeyListing>(Get("/admin/keys", {}));
}

Result<ChangeReply> AdminClient::GrantKey(
    const GrantKeyRequest& request) const {
  return Decode<ChangeReply>(Post("/admin/keys/grant", Encode(request)));
}

Result<WithdrawKeyReply> AdminClient::WithdrawKey(
    const WithdrawKeyRequest& request) const {
  return Decode<WithdrawKeyReply>(
      Post("/admin/keys/withdraw", Encode(request)));
}

Result<ChangeReply> AdminClient::DrainInstance(
    const DrainRequest& request) const {
  return Decode<ChangeReply>(Post("/admin/drain", Encode(request)));
}

Result<std::vector<Span>> AdminClient::Trace(
    const std::string& trace_id) const {
  return Decode<std::vector<Span>>(
      Get("/admin/trace",
          cxxtools::QueryParams().add("trace_id", trace_id).getUrl()));
}

Result<std::vector<UsageLine>> AdminClient::Usage(int windows) const {
  return Decode<std::vector<UsageLine>>(
      Get("/admin/usage", "windows=" + std::to_string(windows)));
}

Result<std::string> AdminClient::Get(const std::string& path,
                                     const std::string& query) const {
  return Call("GET", path, query, {});
}

Result<std::string> AdminClient::Post(const std::string& path,
                                      const std::string& body) const {
  return Call("POST", path, {}, body);
}

Result<std::string> AdminClient::Call(const std::string& method,
                                      const std::string& path,
                                      const std::string& query,
                                      const std::string& body) const {
  const ExchangeRequest request{method,
                                query.empty() ? path : path + "?" + query,
                                body,
                                {{"Authorization", "Bearer " + token_}}};
  const auto response = SendRequest(address_, request, timeout_);
  if (!response)
    return UnreachableError(address_, response.error());
  if (response.value().status == kHttpOk)
    return response.value().body;
  return DecodeError(response.value().body);
}

}  // namespace bamboomount
