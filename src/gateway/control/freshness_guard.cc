#include "gateway/control/freshness_guard.h"

namespace bamboomount {
namespace {

constexpr Millis kCheckInterval{200};
// Parts of the deadline for withdrawn keys between which the age is drawn at
// which the store is asked; the rest covers a slow answer and a second try.
constexpr double kEarliestPart = 0.3;
constexpr double kLatestPart = 0.55;

}  // namespace

FreshnessGuard::FreshnessGuard(asio::io_context& context,
                               TableFollower& config,
                               AsyncTableStore& store,
                               GatewayState& state)
    : config_(config),
      store_(store),
      state_(state),
      timer_(context),
      random_(std::random_device{}()) {
  DrawLimit();
}

void FreshnessGuard::Start() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const error_code& error) {
    if (error)
      return;
    Check();
    Start();
  });
}

void FreshnessGuard::AskNow() {
  config_.Confirm(store_);
}

void FreshnessGuard::Check() {
  const auto age = state_.freshness().Age(BootClock::now());
  if (!age || *age < limit_)
    return;
  config_.Confirm(store_);
  DrawLimit();
}

void FreshnessGuard::DrawLimit() {
  std::uniform_real_distribution<double> part(kEarliestPart, kLatestPart);
  const auto deadline =
      static_cast<double>(state_.settings().key_withdrawal_deadline.count());
  limit_ = Millis(static_cast<Millis::rep>(deadline * part(random_)));
}

}  // namespace bamboomount
