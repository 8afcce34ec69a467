#ifndef GATEWAY_CONTROL_INSTANCE_REGISTRAR_H_
#define GATEWAY_CONTROL_INSTANCE_REGISTRAR_H_

#include <optional>

#include "gateway/control/async_table_store.h"
#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// Maintains this instance's row in the store: writes it once the instance is
// ready, when the instance leaves, and whenever the listed row differs from the
// intended one. On the holder of the duty lease it also removes the rows of
// failed instances. Not thread-safe.
class InstanceRegistrar {
 public:
  static constexpr Millis kCheckInterval{500};
  // Time after a write within which the row is expected back through the list
  // of instances. Until then it is not written again.
  static constexpr Millis kPropagationTime{2000};

  InstanceRegistrar(asio::io_context& context,
                    AsyncTableStore& store,
                    GatewayState& state,
                    Incarnation incarnation);

  void Start();
  // Marks this instance's row as leaving, so that it gets no new callers.
  void AnnounceLeaving();
  // Removes rows of failed instances. Called only by the holder of the duty
  // lease.
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
