#include "base/response_head_checker.h"

namespace bamboomount {
namespace {

constexpr unsigned kLowestStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kLowestFinalStatus = 200;
constexpr unsigned kHighestStatus = 599;

}  // namespace

StatusKind KindOfStatus(unsigned status) {
  if (status < kLowestStatus || status > kHighestStatus ||
      status == kSwitchingProtocols)
    return StatusKind::kInvalid;
  return status < kLowestFinalStatus ? StatusKind::kInformational
                                     : StatusKind::kFinal;
}

StatusKind ResponseHeadChecker::Count(unsigned status) {
  const StatusKind kind = KindOfStatus(status);
  if (kind != StatusKind::kInformational)
    return kind;
  ++informational_heads_;
  return informational_heads_ > kMaxInformationalHeads ? StatusKind::kInvalid
                                                       : kind;
}

}  // namespace bamboomount
