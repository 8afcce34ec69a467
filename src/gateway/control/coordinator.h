#ifndef GATEWAY_CONTROL_COORDINATOR_H_
#define GATEWAY_CONTROL_COORDINATOR_H_

#include <memory>
#include <optional>
#include <string>

#include "gateway/control/async_table_store.h"
#include "gateway/control/duty_client.h"
#include "gateway/control/duty_runner.h"
#include "gateway/control/table_follower.h"
#include "gateway/duties/duty_lease.h"
#include "gateway/gateway_state.h"

namespace bamboomount {

// Tells the other instances of this one and learns of them, through rows in the
// store: once per interval one transaction with this instance's row, and with
// the lease while it is held, and one read of what changed.
class Coordinator : private TableObserver {
 public:
  // The shortest interval between two writes; it grows with the fleet, so that
  // all instances together stay within the store's rate.
  static constexpr Millis kMinInterval{2000};
  static constexpr Millis kMaxInterval{5000};
  static constexpr Millis kIntervalPerMember{65};
  // The holder of the lease renews it several times within its duration.
  static constexpr Millis kHolderInterval{1000};
  // Pause between two reads of what the others wrote, while the holder of the
  // lease is heard, and while it is not.
  static constexpr Millis kReadInterval{8000};
  static constexpr Millis kWatchInterval{1200};

  Coordinator(asio::io_context& context,
              AsyncTableStore& store,
              GatewayState& state,
              DutyRunner& duties,
              Incarnation incarnation);

  void Start();
  // Tells the others that this instance takes no new callers.
  void AnnounceLeaving();
  // An instance was heard that no row describes.
  void ReadMembersSoon();
  void Stop();

 private:
  void OnTable(const std::vector<TableRow>& rows,
               const StoreMoment& moment) override;
  void OnChanges(const std::vector<TableRow>& rows,
                 const StoreMoment& moment) override;

  void Heartbeat();
  void ScheduleHeartbeat();
  void OnCommitted(const std::optional<DutyLease::Claim>& claim,
                   Instant sent,
                   Result<CommitAnswer> answer);
  void ApplyRow(const TableRow& row, Instant now);
  Member DescribeSelf(Instant now) const;
  Millis Interval() const;
  // Reads often enough to take over a lease that runs out, and to report usage
  // as its holder.
  Millis ReadPause(Instant now) const;
  std::string RowKey() const;

  AsyncTableStore& store_;
  GatewayState& state_;
  DutyRunner& duties_;
  const Incarnation incarnation_;
  DutyLease lease_;
  bool held_ = false;
  // The lease row has been read once.
  bool lease_seen_ = false;
  bool leaving_ = false;
  bool stopped_ = false;
  bool commit_open_ = false;
  std::optional<InstanceId> holder_;
  Instant last_soon_;
  TableFollower follower_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_COORDINATOR_H_
