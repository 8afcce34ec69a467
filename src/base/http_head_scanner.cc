#include "base/http_head_scanner.h"

namespace bamboomount {

HeadVerdict HttpHeadScanner::Scan(std::string_view bytes) {
  while (position_ < bytes.size()) {
    const HeadVerdict verdict = ScanByte(bytes[position_]);
    ++position_;
    if (verdict != HeadVerdict::kIncomplete)
      return verdict;
  }
  return HeadVerdict::kIncomplete;
}

HeadVerdict HttpHeadScanner::ScanByte(char byte) {
  if (after_cr_ != (byte == '\n'))
    return HeadVerdict::kBareLineEnd;
  if (after_cr_) {
    after_cr_ = false;
    const bool empty_line = line_size_ == 0;
    line_size_ = 0;
    return empty_line ? HeadVerdict::kComplete : HeadVerdict::kIncomplete;
  }
  if (byte == '\0')
    return HeadVerdict::kNulByte;
  if (line_size_ == 0 && (byte == ' ' || byte == '\t'))
    return HeadVerdict::kFoldedLine;
  if (byte == '\r')
    after_cr_ = true;
  else
    ++line_size_;
  return HeadVerdict::kIncomplete;
}

}  // namespace bamboomount
