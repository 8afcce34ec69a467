#include "gateway/replication/compression.h"

#include <zstd.h>

#include <stdexcept>

namespace bamboomount {
namespace {

// The fastest of the regular levels. Instances have small shares of a core, and
// rows in JSON shrink well at any level.
constexpr int kLevel = 1;

Error MalformedFrame(const char* cause) {
  return {ErrorCode::kInternal,
          RunVerdict::kNotRun,
          std::string("malformed compressed data: ") + cause,
          {}};
}

}  // namespace

std::string Compress(std::string_view text) {
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(frame.data(), frame.size(),
                                         text.data(), text.size(), kLevel);
  // Fails only if the buffer is too small or memory runs out.
  if (ZSTD_isError(size))
    throw std::runtime_error(ZSTD_getErrorName(size));
  frame.resize(size);
  return frame;
}

Result<std::string> Decompress(std::string_view frame, std::size_t max_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    return MalformedFrame("no content size");
  if (size > max_bytes)
    return MalformedFrame("the content is too long");
  std::string text(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
      ZSTD_decompress(text.data(), text.size(), frame.data(), frame.size());
  if (ZSTD_isError(written))
    return MalformedFrame(ZSTD_getErrorName(written));
  if (written != text.size())
    return MalformedFrame("the content is shorter than announced");
  return text;
}

}  // namespace bamboomount
