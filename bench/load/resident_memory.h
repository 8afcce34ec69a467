#ifndef LOAD_RESIDENT_MEMORY_H_
#define LOAD_RESIDENT_MEMORY_H_

#include <cstdint>

namespace bamboomount {

// Returns the resident memory of process `pid` in bytes; -1 if it cannot be
// read.
std::int64_t ResidentBytes(int pid);

}  // namespace bamboomount

#endif  // LOAD_RESIDENT_MEMORY_H_
