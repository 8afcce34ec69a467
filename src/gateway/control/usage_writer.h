#ifndef GATEWAY_CONTROL_USAGE_WRITER_H_
#define GATEWAY_CONTROL_USAGE_WRITER_H_

#include <functional>

#include "gateway/control/async_table_store.h"
#include "gateway/duties/usage_write_schedule.h"
#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// Writes the requests started by this instance to its usage row in the store,
// as UsageWriteSchedule decides, so that the holder of the duty lease can add
// them up. Not thread-safe.
class UsageWriter {
 public:
  static constexpr Millis kCheckInterval{200};

  UsageWriter(asio::io_context& context,
              AsyncTableStore& store,
              GatewayState& state,
              Incarnation incarnation);

  void Start();
  // Writes the counts that have not been stored yet. Calls `done` once, when
  // the write has succeeded or failed, or at once if there is nothing to write.
  void Flush(std::function<void()> done);

 private:
  void WriteIfDue();
  void Write();
  // Ends a pending Flush() if its counts are stored or their write failed;
  // otherwise writes them.
  void ContinueFlush(bool write_failed);

  AsyncTableStore& store_;
  GatewayState& state_;
  const Incarnation incarnation_;
  UsageWriteSchedule schedule_;
  bool write_in_flight_ = false;
  // Set while a Flush() is pending.
  std::function<void()> on_flushed_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_USAGE_WRITER_H_
