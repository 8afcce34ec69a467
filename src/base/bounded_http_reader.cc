#include "base/bounded_http_reader.h"

#include <algorithm>

namespace bamboomount {
namespace {

namespace http = boost::beast::http;

BoundedHttpReader::Error ErrorOf(HeadVerdict verdict) {
  switch (verdict) {
    case HeadVerdict::kIncomplete:
    case HeadVerdict::kComplete:
      return {};
    case HeadVerdict::kFoldedLine:
      return http::error::bad_obs_fold;
    case HeadVerdict::kBareLineEnd:
      return http::error::bad_line_ending;
    case HeadVerdict::kNulByte:
      return http::error::bad_value;
  }
  return http::error::bad_value;
}

}  // namespace

void BoundedHttpReader::BeginMessage(std::size_t max_bytes) {
  max_bytes_ = std::min(max_bytes, kMaxBytes);
  buffer_.max_size(std::max(max_bytes_, buffer_.size()));
  // A connection that waits for its next message needs no buffer.
  if (buffer_.size() == 0)
    buffer_.shrink_to_fit();
  scanner_.Reset();
  chunks_.Reset();
  scanned_bytes_ = 0;
  framing_is_incomplete_ = false;
}

std::size_t BoundedHttpReader::ScanHead(Error& error) {
  const auto bytes = buffer_.data();
  const HeadVerdict verdict =
      scanner_.Scan({static_cast<const char*>(bytes.data()),
                     std::min(bytes.size(), max_bytes_)});
  error = ErrorOf(verdict);
  if (verdict == HeadVerdict::kComplete)
    return scanner_.head_size();
  if (!error && bytes.size() >= max_bytes_)
    error = http::error::header_limit;
  return 0;
}

bool BoundedHttpReader::ScanChunks(Error& error) {
  const auto bytes = buffer_.data();
  const std::string_view added(
      static_cast<const char*>(bytes.data()) + scanned_bytes_,
      bytes.size() - scanned_bytes_);
  if (!chunks_.ended())
    scanned_bytes_ += chunks_.Scan(added);
  if (chunks_.failed())
    error = http::error::bad_chunk;
  return !chunks_.failed();
}

}  // namespace bamboomount
