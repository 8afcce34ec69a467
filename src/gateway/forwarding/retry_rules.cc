#include "gateway/forwarding/retry_rules.h"

namespace bamboomount {
namespace {

// A further refusal ends the retries. A refusal costs little, but each one adds
// a request to a loaded server.
constexpr int kMaxRefusals = 2;
// A further failure ends the retries. Each failed connection may take the whole
// connection timeout.
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
