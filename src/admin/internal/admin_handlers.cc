#include "admin/internal/admin_handlers.h"

#include <algorithm>
#include <charconv>

#include "admin/events.h"
#include "admin/internal/operator_json.h"
#include "config/config.h"

namespace bamboomount::internal {
namespace {

using Json = nlohmann::json;

// Bounds of the time an operator's request may block on the store; the page
// allows no more than 2 s for a request path, and operators can wait longer.
constexpr Millis kStoreTimeout{5000};
constexpr std::size_t kMaxAuthorLength = 64;
constexpr int kDefaultUsageWindows = 5;
constexpr int kMaxUsageWindows = 1440;

struct HttpStatusEntry {
  ErrorCode code;
  int status;
};

// Codes that are not listed answer 500.
constexpr HttpStatusEntry kHttpStatuses[] = {
    {ErrorCode::kBadRequest, 400},      {ErrorCode::kMissingKey, 401},
    {ErrorCode::kUnknownKey, 401},      {ErrorCode::kNotFound, 404},
    {ErrorCode::kConflict, 409},        {ErrorCode::kStaleBase, 409},
    {ErrorCode::kBodyTooLarge, 413},    {ErrorCode::kInvalidConfig, 422},
    {ErrorCode::kStoreUnavailable, 503}};

int HttpStatusOf(ErrorCode code) {
  for (const HttpStatusEntry& entry : kHttpStatuses) {
    if (entry.code == code)
      return entry.status;
  }
  return 500;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminReply ErrorReply(const Error& error) {
  return {HttpStatusOf(error.code), "application/json",
          Dump({{"error",
                 {{"code", ToString(error.code)},
                  {"message", error.message},
                  {"ran", ToString(error.verdict)}}}})};
}

Error Refusal(ErrorCode code, std::string message) {
  return {code, RunVerdict::kNotRun, std::move(message), {}};
}

template <typename T>
AdminReply JsonReply(const T& value) {
  return {200, "application/json", Dump(Json(value))};
}

template <typename T>
AdminReply JsonReply(const Result<T>& result) {
  return result ? JsonReply(result.value()) : ErrorReply(result.error());
}

// Throws a JSON exception if the body has not the fields of T.
template <typename T>
T ParseBody(const AdminRequest& request) {
  return Json::parse(request.body).get<T>();
}

bool IsControlCharacter(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

bool IsValidAuthor(const std::string& author) {
  return !author.empty() && author.size() <= kMaxAuthorLength &&
         std::none_of(author.begin(), author.end(), IsControlCharacter);
}

bool IsSha256Hex(const std::string& digest) {
  return digest.size() == 64 &&
         digest.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// The number in a query parameter; empty if it is absent. A faulty one is an
// error.
Result<std::optional<std::uint64_t>> ParseQueryNumber(
    const AdminRequest& request,
    const std::string& name) {
  const auto found = request.query.find(name);
  if (found == request.query.end())
    return std::optional<std::uint64_t>();
  const std::string& text = found->second;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end)
    return Refusal(ErrorCode::kBadRequest, name + " must be a number");
  return std::optional<std::uint64_t>(number);
}

template <typename T>
void LogAction(const std::string& author,
               const char* action,
               const std::string& subject,
               const Result<T>& result) {
  Log(kOperatorAction,
      {{"author", author},
       {"action", action},
       {"subject", subject},
       {"result",
        std::string(result ? "accepted" : ToString(result.error().code))}});
}

// All faults, one a line.
std::string FormatConfigErrors(const std::vector<ConfigError>& errors) {
  std::string text;
  for (const ConfigError& error : errors)
    text += (text.empty() ? "" : "\n") + std::to_string(error.line) + ":" +
            std::to_string(error.column) + ": " + error.message;
  return text;
}

}  // namespace

const std::vector<AdminHandlers::Route>& AdminHandlers::Routes() {
  using H = AdminHandlers;
  static const std::vector<Route> routes = {
      {"GET", "/healthz", &H::Health},
      {"GET", "/metrics", &H::Metrics},
      {"GET", "/admin/status", &H::Status},
      {"GET", "/admin/position", &H::Position},
      {"GET", "/admin/config", &H::Config},
      {"GET", "/admin/config/history", &H::ConfigHistory},
      {"POST", "/admin/config", &H::ApplyConfig},
      {"GET", "/admin/keys", &H::Keys},
      {"POST", "/admin/keys/grant", &H::GrantKey},
      {"POST", "/admin/keys/withdraw", &H::WithdrawKey},
      {"POST", "/admin/drain", &H::Drain},
      {"GET", "/admin/trace", &H::Trace},
      {"GET", "/admin/usage", &H::Usage},
  };
  return routes;
}

bool AdminHandlers::IsAuthorized(const AdminRequest& request) const {
  return !request.path.starts_with("/admin") ||
         token_.Matches(request.authorization);
}

AdminReply AdminHandlers::Handle(const AdminRequest& request) const {
  if (!IsAuthorized(request)) {
    Log(kAdminRefused, {{"path", request.path}});
    return ErrorReply(
        Refusal(ErrorCode::kUnknownKey, "the admin token is missing or wrong"));
  }
  try {
    return Dispatch(request);
  } catch (const Json::exception& error) {
    return ErrorReply(Refusal(ErrorCode::kBadRequest, error.what()));
  }
}

AdminReply AdminHandlers::RejectOversizedBody(
    const AdminRequest& request) const {
  if (!IsAuthorized(request))
    return Handle(request);
  return ErrorReply(Refusal(ErrorCode::kBodyTooLarge, "the body is too large"));
}

AdminReply AdminHandlers::Dispatch(const AdminRequest& request) const {
  bool known_path = false;
  for (const Route& route : Routes()) {
    if (route.path != request.path)
      continue;
    known_path = true;
    if (route.method == request.method)
      return (this->*route.handler)(request);
  }
  AdminReply reply = ErrorReply(Refusal(
      ErrorCode::kNotFound,
      known_path ? "the path does not take this method" : "unknown path"));
  if (known_path)
    reply.status = 405;
  return reply;
}

AdminReply AdminHandlers::Health(const AdminRequest& /*request*/) const {
  const HealthStatus health = operations_.Health();
  AdminReply reply = JsonReply(health);
  reply.status = health.serving ? 200 : 503;
  return reply;
}

AdminReply AdminHandlers::Metrics(const AdminRequest& /*request*/) const {
  return {200, "text/plain; version=0.0.4", operations_.MetricsText()};
}

AdminReply AdminHandlers::Status(const AdminRequest& /*request*/) const {
  return JsonReply(operations_.Status());
}

AdminReply AdminHandlers::Position(const AdminRequest& /*request*/) const {
  return JsonReply(operations_.Position());
}

AdminReply AdminHandlers::Config(const AdminRequest& request) const {
  const auto version = ParseQueryNumber(request, "version");
  if (!version)
    return ErrorReply(version.error());
  std::optional<ConfigVersion> requested;
  if (version.value())
    requested = ConfigVersion(*version.value());
  return JsonReply(operations_.Config(requested, kStoreTimeout));
}

AdminReply AdminHandlers::ConfigHistory(const AdminRequest& /*request*/) const {
  return JsonReply(operations_.ConfigHistory(kStoreTimeout));
}

AdminReply AdminHandlers::ApplyConfig(const AdminRequest& request) const {
  const auto body = ParseBody<ApplyConfigRequest>(request);
  if (!IsValidAuthor(body.author))
    return ErrorReply(Refusal(ErrorCode::kBadRequest, "author is unfit"));
  const ServiceConfigReadResult reading = ReadServiceConfig(body.text);
  if (!reading.errors.empty())
    return ErrorReply(
        Refusal(ErrorCode::kInvalidConfig, FormatConfigErrors(reading.errors)));
  const auto result = operations_.ApplyConfig(body, kStoreTimeout);
  LogAction(body.author, "apply_config", std::to_string(body.base.value()),
            result);
  return JsonReply(result);
}

AdminReply AdminHandlers::Keys(const AdminRequest& /*request*/) const {
  return JsonReply(operations_.Keys());
}

AdminReply AdminHandlers::GrantKey(const AdminRequest& request) const {
  const auto body = ParseBody<GrantKeyRequest>(request);
  if (!IsValidAuthor(body.author) || body.key.empty() ||
      !IsSha256Hex(body.digest.value()))
    return ErrorReply(Refusal(ErrorCode::kBadRequest,
                              "author, key or digest (SHA-256) is unfit"));
  const auto result = operations_.GrantKey(body, kStoreTimeout);
  LogAction(body.author, "grant_key", body.key.value(), result);
  return JsonReply(result);
}

AdminReply AdminHandlers::WithdrawKey(const AdminRequest& request) const {
  const auto body = ParseBody<WithdrawKeyRequest>(request);
  if (!IsValidAuthor(body.author) || body.key.empty())
    return ErrorReply(
        Refusal(ErrorCode::kBadRequest, "author or key is unfit"));
  const auto result = operations_.WithdrawKey(body, kStoreTimeout);
  LogAction(body.author, "withdraw_key", body.key.value(), result);
  return JsonReply(result);
}

AdminReply AdminHandlers::Drain(const AdminRequest& request) const {
  const auto body = ParseBody<DrainRequest>(request);
  if (!IsValidAuthor(body.author) || body.instance.empty())
    return ErrorReply(
        Refusal(ErrorCode::kBadRequest, "author or instance is unfit"));
  const auto result = operations_.DrainInstance(body, kStoreTimeout);
  LogAction(body.author, "drain_instance", body.instance.value(), result);
  return JsonReply(result);
}

AdminReply AdminHandlers::Trace(const AdminRequest& request) const {
  const auto found = request.query.find("trace_id");
  if (found == request.query.end())
    return ErrorReply(Refusal(ErrorCode::kBadRequest, "trace_id is missing"));
  return JsonReply(operations_.Trace(found->second));
}

AdminReply AdminHandlers::Usage(const AdminRequest& request) const {
  const auto windows = ParseQueryNumber(request, "windows");
  if (!windows)
    return ErrorReply(windows.error());
  const auto count = windows.value().value_or(kDefaultUsageWindows);
  if (count < 1 || count > kMaxUsageWindows)
    return ErrorReply(Refusal(
        ErrorCode::kBadRequest,
        "windows must lie from 1 to " + std::to_string(kMaxUsageWindows)));
  return JsonReply(operations_.Usage(static_cast<int>(count), kStoreTimeout));
}

}  // namespace bamboomount::internal
