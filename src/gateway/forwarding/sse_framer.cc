#include "gateway/forwarding/sse_framer.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace bamboomount {
namespace {

// Position after the last blank line, or 0 if there is none.
std::size_t EndOfLastCompleteEvent(std::string_view text) {
  std::size_t end = 0;
  for (const std::string_view blank : {"\n\n", "\r\n\r\n"}) {
    const std::size_t found = text.rfind(blank);
    if (found != std::string_view::npos)
      end = std::max(end, found + blank.size());
  }
  return end;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  return text;
}

// Bounds what is kept and sent in a head.
constexpr std::size_t kMaxIdBytes = 256;
// Enough for every number that fits into 63 bits.
constexpr std::size_t kMaxDigits = 18;

// Whether the id can stand in a head: visible characters of ASCII.
bool IsUsableId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char character) {
           return character > ' ' && character <= '~';
         });
}

// The number that the id states; empty if it is another text.
std::optional<std::uint64_t> NumberOf(std::string_view id) {
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
  if (id.empty() || id.size() > kMaxDigits || parsed.ec != std::errc() ||
      parsed.ptr != id.data() + id.size())
    return std::nullopt;
  return number;
}

}  // namespace

std::string SseFramer::Add(std::string_view bytes) {
  partial_.append(bytes);
  const std::size_t end = EndOfLastCompleteEvent(partial_);
  std::string complete_events = partial_.substr(0, end);
  partial_.erase(0, end);
  RecordEventIds(complete_events);
  return complete_events;
}

void SseFramer::RecordEventIds(std::string_view events) {
  constexpr std::string_view kIdField = "id:";
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    const std::string_view line = events.substr(0, end);
    if (line.starts_with(kIdField))
      RecordEventId(Trim(line.substr(kIdField.size())));
    if (end == std::string_view::npos)
      return;
    events.remove_prefix(end + 1);
  }
}

void SseFramer::RecordEventId(std::string_view id) {
  if (!IsUsableId(id))
    return;
  const auto last = NumberOf(last_event_id_);
  const auto next = NumberOf(id);
  if (last && (!next || *next <= *last))
    return;
  last_event_id_ = std::string(id);
}

}  // namespace bamboomount
