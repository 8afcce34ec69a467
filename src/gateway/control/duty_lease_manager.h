#ifndef GATEWAY_CONTROL_DUTY_LEASE_MANAGER_H_
#define GATEWAY_CONTROL_DUTY_LEASE_MANAGER_H_

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
class DutyLeaseManager {
 public:
  // The holder renews several times within the lease.
  static constexpr Millis kRenewInterval{1000};
  // Pause between two looks at the row of a holder that is not heard.
  static constexpr Millis kWatchInterval{1000};
  // The holder tells several times a second, and others pass it on.
  static constexpr Millis kHolderTimeout{800};
  // Instances that may take the lease over.
  static constexpr std::size_t kMaxCandidates = 3;

  // `on_held` is called after each renewal, `on_taken` when the lease was taken
  // anew.
  struct Callbacks {
    std::function<void()> on_taken;
    std::function<void(const DutyLease& lease, Instant now)> on_held;
  };

  DutyLeaseManager(asio::io_context& context,
                   AsyncTableStore& store,
                   GatewayState& state,
                   const Incarnation& incarnation,
                   Callbacks callbacks);

  void Start();
  // A leaving instance lets its lease run out.
  void StopRenewing() { leaving_ = true; }
  // What others are told of the holder.
  std::optional<HolderStatement> LatestHolderStatement(Instant now) const;
  void OnHolderStatement(const HolderStatement& statement, Instant now);

 private:
  void Step();
  bool MayTakeOver(Instant now) const;
  bool IsHolderAlive(Instant now) const;
  void ReadRow();
  void CommitClaim(const DutyLease::Claim& claim);
  void OnCommitted(const DutyLease::Claim& claim,
                   Instant sent,
                   const Result<CommitResponse>& response);

  struct ReceivedStatement {
    HolderStatement statement;
    Instant stated_at;
  };

  AsyncTableStore& store_;
  GatewayState& state_;
  const Callbacks callbacks_;
  DutyLease lease_;
  bool held_ = false;
  bool leaving_ = false;
  bool call_in_flight_ = false;
  Instant next_call_at_;
  std::optional<ReceivedStatement> last_received_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_DUTY_LEASE_MANAGER_H_
