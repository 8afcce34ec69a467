#ifndef BASE_CHUNK_FRAMING_METER_H_
#define BASE_CHUNK_FRAMING_METER_H_

#include <cstdint>

namespace bamboomount {

// Compares the framing of a message in chunks (size lines, extensions and
// trailers) with the body that it carries. A sender could otherwise keep a
// reader busy without sending a body.
class ChunkFramingMeter {
 public:
  // Framing that any body may have. As large as a head by default, because
  // trailers may be.
  static constexpr std::uint64_t kFreeBytes = 16'384;
  // Framing allowed for each byte of the body besides. Chunks of one byte
  // without extensions need 5.
  static constexpr std::uint64_t kMaxBytesPerBodyByte = 6;

  // Records that `bytes` of the message were read, of which `body_bytes` belong
  // to the body. Returns whether the framing is in proportion to the body.
  bool Record(std::uint64_t bytes, std::uint64_t body_bytes) {
    framing_bytes_ += bytes - body_bytes;
    body_bytes_ += body_bytes;
    return framing_bytes_ <= kFreeBytes + kMaxBytesPerBodyByte * body_bytes_;
  }

 private:
  std::uint64_t framing_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
};

}  // namespace bamboomount

#endif  // BASE_CHUNK_FRAMING_METER_H_
