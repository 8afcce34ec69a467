#include "gateway/forwarding/retry_rules.h"

namespace bamboomount {
namespace {

// Refusals cost the servers little, but each one is an arrival.
constexpr int kMaxRefusals = 2;
// Each failed connection may take its whole time limit.
constexpr int kMaxFailedConnects = 3;

}  // namespace

bool MaySendAgain(const Route& route, const SendHistory& history) {
  if (history.refusals > kMaxRefusals ||
      history.failed_connects > kMaxFailedConnects)
    return false;
  if (history.runs == 0)
    return true;
  if (!MayRepeat(route.kind) || history.runs >= route.attempts)
    return false;
  return !history.passed_on || route.kind == RequestKind::kResumableStream;
}

}  // namespace bamboomount
