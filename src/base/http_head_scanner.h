#ifndef BASE_HTTP_HEAD_SCANNER_H_
#define BASE_HTTP_HEAD_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace bamboomount {

// What the bytes of an HTTP head look like so far.
enum class HeadVerdict {
  kIncomplete,
  kComplete,
  // A line begins with a space or a tab and so continues the line before it.
  kFoldedLine,
  // A CR or LF that is no part of a CRLF.
  kBareLineEnd,
  kNulByte,
};

// Finds the end of an HTTP head in the received bytes and rejects bytes that
// recipients interpret differently (RFC 9112, 2.2 and 5.2). Parsers that join
// folded lines and parsers that do not can disagree on Transfer-Encoding, and
// so on the end of the message.
class HttpHeadScanner {
 public:
  // Scans `bytes`, which begin with those of the previous call. After a verdict
  // other than kIncomplete, the scanner needs a Reset().
  HeadVerdict Scan(std::string_view bytes);
  // Size of the head with its empty line, after the verdict kComplete.
  std::size_t head_size() const { return position_; }
  // Prepares for the next head.
  void Reset() { *this = {}; }

 private:
  HeadVerdict ScanByte(char byte);

  // Number of bytes scanned.
  std::size_t position_ = 0;
  std::size_t line_size_ = 0;
  bool after_cr_ = false;
};

}  // namespace bamboomount

#endif  // BASE_HTTP_HEAD_SCANNER_H_
