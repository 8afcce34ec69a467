#include "load/resident_memory.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace bamboomount {

std::int64_t ResidentBytes(int pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  if (!(statm >> total >> resident)) {
    return -1;
  }
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace bamboomount
