#ifndef GATEWAY_CONTROL_INSTANCE_REGISTRAR_H_
#define GATEWAY_CONTROL_INSTANCE_REGISTRAR_H_

#include <optional>

#include "gateway/control/async_table_store.h"
#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// Keeps this instance's row in the store: writes it once the instance is ready,
// when it leaves, and whenever the row is not as it should be. The holder of
// the duty lease also drops the rows of instances that failed.
class InstanceRegistrar {
 public:
  static constexpr Millis kCheckInterval{500};
  // Time in which a row that was written surely comes back as news.
  static constexpr Millis kPropagationTime{2000};

  InstanceRegistrar(asio::io_context& context,
                    AsyncTableStore& store,
                    GatewayState& state,
                    Incarnation incarnation);

  void Start();
  // Tells the others that this instance takes no new callers.
  void AnnounceLeaving();
  // Drops rows of failed instances; called by the holder of the lease.
  void RemoveFailedInstances();

 private:
  void WriteRowIfOutdated();
  void WriteRow(const Member& member);
  Member DescribeSelf() const;

  AsyncTableStore& store_;
  GatewayState& state_;
  const Incarnation incarnation_;
  bool leaving_ = false;
  bool commit_in_flight_ = false;
  std::optional<Instant> last_written_at_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_INSTANCE_REGISTRAR_H_
