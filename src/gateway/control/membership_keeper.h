#ifndef GATEWAY_CONTROL_MEMBERSHIP_KEEPER_H_
#define GATEWAY_CONTROL_MEMBERSHIP_KEEPER_H_

#include <optional>

#include "gateway/control/async_table_store.h"
#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// Keeps this instance's row in the store: writes it once the instance is ready,
// when it leaves, and whenever the row is not as it should be. The holder of
// the duty lease also drops the rows of instances that failed.
class MembershipKeeper {
 public:
  static constexpr Millis kInterval{500};
  // Time in which a row that was written surely comes back as news.
  static constexpr Millis kSettleTime{2000};

  MembershipKeeper(asio::io_context& context,
                   AsyncTableStore& store,
                   GatewayState& state,
                   Incarnation incarnation);

  void Start();
  // Tells the others that this instance takes no new callers.
  void AnnounceLeaving();
  // Drops rows of failed instances; called by the holder of the lease.
  void DropFailed();

 private:
  void Check();
  void Write(const Member& member);
  Member DescribeSelf() const;

  AsyncTableStore& store_;
  GatewayState& state_;
  const Incarnation incarnation_;
  bool leaving_ = false;
  bool commit_open_ = false;
  std::optional<Instant> written_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_MEMBERSHIP_KEEPER_H_
