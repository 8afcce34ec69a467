#ifndef GATEWAY_REPLICATION_COMPRESSION_H_
#define GATEWAY_REPLICATION_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/base.h"

namespace bamboomount {

// Compresses `text` as one Zstandard frame (RFC 8878).
std::string Compress(std::string_view text);
// Returns the text of a frame that Compress() made. Fails with kInternal if the
// frame is malformed or its text is longer than `max_bytes`.
Result<std::string> Decompress(std::string_view frame, std::size_t max_bytes);

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_COMPRESSION_H_
