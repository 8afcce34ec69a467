#ifndef BASE_RUN_VERDICT_H_
#define BASE_RUN_VERDICT_H_

#include <string_view>

namespace bamboomount {

// Whether a failed request may have taken effect at its receiver.
enum class RunVerdict {
  // No byte of the request was written to the receiver's connection.
  kNotRun,
  // The receiver may have executed the request.
  kMayHaveRun,
};

// Returns the value of the field "ran" in error replies: "no" or "unknown".
std::string_view ToString(RunVerdict verdict);

}  // namespace bamboomount

#endif  // BASE_RUN_VERDICT_H_
