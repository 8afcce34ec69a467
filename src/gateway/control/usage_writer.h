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

// Writes what began to run at this instance's word to the store: soon after the
// end of each usage window, so that the holder of the duty lease can add it up,
// and in a small fleet also within a window, since the end of one process would
// lose a large part of all figures there. In a large one the figures within a
// window are told to others, see GossipMessage.
class UsageWriter {
 public:
  static constexpr Millis kCheckInterval{200};
  // Shortest time between two writes, also after one that failed.
  static constexpr Millis kMinWriteInterval{1000};
  // Time between two writes within a window, in fleets up to this size.
  static constexpr Millis kMidWindowWriteInterval{2000};
  static constexpr int kMidWindowMaxInstances = 20;
  // Writes of the fleet spread over so much time after a window's end.
  static constexpr Millis kWriteJitter{1200};

  UsageWriter(asio::io_context& context,
              AsyncTableStore& store,
              GatewayState& state,
              Incarnation incarnation);

  void Start();
  // Writes what is not written yet; `done` is called once that is over,
  // successful or not.
  void Flush(std::function<void()> done);

 private:
  void WriteIfDue();
  bool IsDue(WindowNumber ended, Instant now) const;
  void Write(std::function<void()> done);

  AsyncTableStore& store_;
  GatewayState& state_;
  const Incarnation incarnation_;
  bool write_in_flight_ = false;
  // What the row shows.
  std::uint64_t written_revision_ = 0;
  WindowNumber written_through_;
  Instant last_write_at_;
  // The last window whose end was seen, and when its figures are written.
  WindowNumber last_ended_window_;
  Instant write_due_at_;
  std::minstd_rand random_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_USAGE_WRITER_H_
