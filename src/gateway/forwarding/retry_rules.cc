#include "gateway/forwarding/retry_rules.h"

namespace bamboomount {
namespace {

// Refusals cost the servers little, but each one is an arrival.
constexpr int kMaxRefusals = 2;
// Each failed connection may take its whole time limit.
constexpr int kMaxFailedConnects = 3;

}  // namespace

bool MayRetry(const Route& route, const AttemptHistory& history) {
  if (history.refusals > kMaxRefusals ||
      history.failed_connects > kMaxFailedConnects)
    return false;
  if (history.possible_runs == 0)
    return true;
  if (!MayRepeat(route.kind) || history.possible_runs >= route.attempts)
    return false;
  return !history.reply_started || route.kind == RequestKind::kResumableStream;
}

}  // namespace bamboomount
