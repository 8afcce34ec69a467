#include "router/internal/event_stream_splitter.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr std::string_view kDoneMarker = "data: [DONE]";
constexpr std::string_view kBlankLine = "\n\n";
constexpr std::string_view kBlankLineWithReturns = "\r\n\r\n";

// Returns the position after the first blank line that begins at or behind
// `from`, or npos.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  const std::size_t lf_end = text.find(kBlankLine, from);
  const std::size_t crlf_end = text.find(kBlankLineWithReturns, from);
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
    return std::string_view::npos;
  if (lf_end < crlf_end)
    return lf_end + kBlankLine.size();
  return crlf_end + kBlankLineWithReturns.size();
}

}  // namespace

std::optional<std::string> EventStreamSplitter::NextEvent() {
  const std::size_t end = FindEventEnd(buffer_, searched_);
  if (end == std::string::npos) {
    // The last bytes may be the beginning of a blank line.
    searched_ = buffer_.size() -
                std::min(buffer_.size(), kBlankLineWithReturns.size() - 1);
    return std::nullopt;
  }
  std::string event = buffer_.substr(0, end);
  buffer_.erase(0, end);
  searched_ = 0;
  return event;
}

bool IsDoneEvent(std::string_view event) {
  return event.substr(0, kDoneMarker.size()) == kDoneMarker;
}

}  // namespace bamboomount
