#ifndef GATEWAY_CONTROL_USAGE_WRITER_H_
#define GATEWAY_CONTROL_USAGE_WRITER_H_

#include <functional>
#include <random>
#include <string>

#include "gateway/control/async_table_store.h"
#include "gateway/duties/incarnation_usage.h"
#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// Writes the requests started by this instance to the store, soon after the end
// of each usage window, so that the holder of the duty lease can add them up.
// In a small fleet it also writes within a window, since each instance accounts
// for a large share of the usage there, which would be lost if its process
// ended. In a large fleet, counts within a window are sent to other instances
// instead, see GossipMessage. Not thread-safe.
class UsageWriter {
 public:
  static constexpr Millis kCheckInterval{200};
  // Minimum time between two writes, including failed ones.
  static constexpr Millis kMinWriteInterval{1000};
  // Interval between writes within a window, which are made only in fleets of
  // at most kMidWindowMaxInstances instances.
  static constexpr Millis kMidWindowWriteInterval{2000};
  static constexpr int kMidWindowMaxInstances = 20;
  // Writes are spread at random over this time after the end of a window, so
  // that instances do not all write at once.
  static constexpr Millis kWriteJitter{1200};

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
  bool IsDue(WindowNumber ended, Instant now) const;
  void Write(std::function<void()> done);

  AsyncTableStore& store_;
  GatewayState& state_;
  const Incarnation incarnation_;
  bool write_in_flight_ = false;
  // Revision and last complete window of the stored row.
  std::uint64_t written_revision_ = 0;
  WindowNumber written_through_;
  Instant last_write_at_;
  // The last window that is known to have ended, and when its counts are to be
  // written.
  WindowNumber last_ended_window_;
  Instant write_due_at_;
  std::minstd_rand random_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_USAGE_WRITER_H_
