#include "telemetry/trace_context.h"

#include <algorithm>

#include "base/base.h"

namespace bamboomount {
namespace {

constexpr std::size_t kTraceIdBytes = 16;
constexpr std::size_t kSpanIdBytes = 8;
// Length of "00-<32 digits>-<16 digits>-<2 digits>".
constexpr std::size_t kHeaderLength = 55;

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

}  // namespace

TraceContext TraceContext::NewRoot() {
  return {RandomHex(kTraceIdBytes), RandomHex(kSpanIdBytes)};
}

std::optional<TraceContext> TraceContext::Parse(std::string_view header) {
  if (header.size() != kHeaderLength || header.substr(0, 3) != "00-" ||
      header[35] != '-' || header[52] != '-')
    return std::nullopt;
  const std::string_view trace_id = header.substr(3, 32);
  const std::string_view span_id = header.substr(36, 16);
  if (!IsLowerHex(trace_id) || !IsLowerHex(span_id) || IsZero(trace_id) ||
      IsZero(span_id))
    return std::nullopt;
  return TraceContext{std::string(trace_id), std::string(span_id)};
}

TraceContext TraceContext::NewChild() const {
  return {trace_id, RandomHex(kSpanIdBytes)};
}

std::string TraceContext::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

}  // namespace bamboomount
