#ifndef BASE_CHUNKED_BODY_SCANNER_H_
#define BASE_CHUNKED_BODY_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bamboomount {

// Follows a body in chunks and rejects chunk sizes, extensions and trailers
// that recipients interpret differently (RFC 9112, 7.1): folded lines, a CR or
// LF that is no part of a CRLF, control characters, blanks in front of a colon
// or around a size. They could disagree on where the message ends.
class ChunkedBodyScanner {
 public:
  // Scans the bytes that follow those of the previous call, up to the end of
  // the body. Returns the number of bytes up to there.
  std::size_t Scan(std::string_view bytes);
  // A byte breaks the rules; the scanner needs a Reset().
  bool failed() const { return state_ == State::kFailed; }
  // The body has ended, with its trailers.
  bool ended() const { return state_ == State::kEnded; }
  // Prepares for the next body.
  void Reset() { *this = {}; }

 private:
  enum class State {
    kSizeStart,
    kSize,
    // Blanks after the size, which must precede an extension.
    kSizeBlank,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataReturn,
    kDataLineFeed,
    kTrailerStart,
    kTrailerName,
    kTrailerValue,
    kTrailerLineFeed,
    kEndLineFeed,
    kEnded,
    kFailed,
  };

  State Next(char byte);
  State NextOfSizeLine(char byte);
  State NextOfTrailer(char byte);
  State AddSizeDigit(char byte);

  State state_ = State::kSizeStart;
  // Of the chunk: its size, then what is left of its data.
  std::uint64_t size_ = 0;
};

}  // namespace bamboomount

#endif  // BASE_CHUNKED_BODY_SCANNER_H_
