#ifndef GATEWAY_CONTROL_LEASE_KEEPER_H_
#define GATEWAY_CONTROL_LEASE_KEEPER_H_

#include <functional>
#include <optional>

#include "gateway/control/async_table_store.h"
#include "gateway/duties/duty_lease.h"
#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/replication/gossip_message.h"

namespace bamboomount {

// Renews the duty lease while this instance holds it. While it does not, and
// the holder is not heard through the news, the first few instances of the
// fleet's order watch the lease's row and take it over once it has run out.
class LeaseKeeper {
 public:
  // The holder renews several times within the lease.
  static constexpr Millis kRenewInterval{1000};
  // Pause between two looks at the row of a holder that is not heard.
  static constexpr Millis kWatchInterval{1000};
  // The holder tells several times a second, and others pass it on.
  static constexpr Millis kHolderSilence{800};
  // Instances that may take the lease over.
  static constexpr std::size_t kCandidates = 3;

  // `on_held` is called after each renewal, `on_taken` when the lease was taken
  // anew.
  struct Callbacks {
    std::function<void()> on_taken;
    std::function<void(const DutyLease& lease, Instant now)> on_held;
  };

  LeaseKeeper(asio::io_context& context,
              AsyncTableStore& store,
              GatewayState& state,
              const Incarnation& incarnation,
              Callbacks callbacks);

  void Start();
  // A leaving instance lets its lease run out.
  void Leave() { leaving_ = true; }
  // What others are told of the holder.
  std::optional<HolderStatement> Statement(Instant now) const;
  void OnStatement(const HolderStatement& statement, Instant now);

 private:
  void Step();
  bool MayTakeOver(Instant now) const;
  bool HolderIsHeard(Instant now) const;
  void ReadRow();
  void Claim(const DutyLease::Claim& claim);
  void OnCommitted(const DutyLease::Claim& claim,
                   Instant sent,
                   const Result<CommitAnswer>& answer);

  struct Heard {
    HolderStatement statement;
    Instant said;
  };

  AsyncTableStore& store_;
  GatewayState& state_;
  const Callbacks callbacks_;
  DutyLease lease_;
  bool held_ = false;
  bool leaving_ = false;
  bool call_open_ = false;
  Instant next_call_;
  std::optional<Heard> heard_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_LEASE_KEEPER_H_
