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

// Renews the duty lease while this instance holds it. Otherwise, if no recent
// gossip message reports a holder and this is one of the highest-ranked
// instances, it watches the lease's row and takes the lease over once it has
// expired. Not thread-safe.
class DutyLeaseManager {
 public:
  // Interval between renewals, several of which fit into the lease duration.
  static constexpr Millis kRenewInterval{1000};
  // Interval between reads of the row while the holder is not heard from.
  static constexpr Millis kWatchInterval{1000};
  // A holder whose last statement is older than this counts as not alive.
  // Holders send statements several times a second, and other instances relay
  // them.
  static constexpr Millis kHolderTimeout{800};
  // Number of highest-ranked instances that may take the lease over.
  static constexpr std::size_t kMaxCandidates = 3;

  // `on_taken` is called when the lease has been acquired anew, `on_held` after
  // each attempt to write the lease's row, provided that the lease is held
  // then.
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
  // Lets the lease expire, because this instance is leaving.
  void StopRenewing() { leaving_ = true; }
  // The most recent statement of a lease holder, to be sent in gossip messages;
  // empty if none is known.
  std::optional<HolderStatement> LatestHolderStatement(Instant now) const;
  void OnHolderStatement(const HolderStatement& statement, Instant now);
  // The fencing token if this instance holds the lease and is not leaving;
  // otherwise 0.
  FencingToken HeldToken(Instant now) const;

 private:
  void Step();
  bool MayTakeOver(Instant now) const;
  bool IsHolderAlive(Instant now) const;
  void ReadRow();
  // Logs that the store has come back from an older copy, if it has.
  void LogIfRestored(const StoreResponseInfo& info);
  void CommitClaim(const DutyLease::Claim& claim);
  void OnCommitted(const DutyLease::Claim& claim,
                   Instant sent,
                   const Result<CommitResponse>& response);
  // Logs and announces that the lease was acquired or lost, if it was. `claim`
  // is the one whose outcome shows it.
  void RecordTenure(FencingToken token, const DutyLease::Claim& claim);

  struct ReceivedStatement {
    HolderStatement statement;
    Instant stated_at;
  };

  AsyncTableStore& store_;
  GatewayState& state_;
  const Callbacks callbacks_;
  DutyLease lease_;
  // The store's newest version in the last response about the row.
  RowVersion newest_version_;
  // The token with which this instance last acted; 0 if it has lost the lease
  // since.
  FencingToken tenure_;
  bool leaving_ = false;
  bool call_in_flight_ = false;
  Instant next_call_at_;
  std::optional<ReceivedStatement> last_received_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_DUTY_LEASE_MANAGER_H_
