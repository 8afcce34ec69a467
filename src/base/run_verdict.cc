#include "base/run_verdict.h"

namespace bamboomount {

std::string_view ToString(RunVerdict verdict) {
  return verdict == RunVerdict::kNotRun ? "no" : "unknown";
}

}  // namespace bamboomount
