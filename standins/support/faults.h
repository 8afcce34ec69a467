#ifndef SUPPORT_FAULTS_H_
#define SUPPORT_FAULTS_H_

#include <cstdint>
#include <string>

namespace standin {

// Faults that apply to one request. A negative count or a zero duration
// disables a fault.
struct Faults {
  // Delay before the request is executed.
  std::int64_t delay_ms = 0;
  // Delay between the execution of the request and its response.
  std::int64_t late_ms = 0;
  // Respond with status 503 without executing the request.
  bool refuse = false;
  // Execute the request and close the connection without a response.
  bool lose_answer = false;
  // Reset the connection after this many bytes of the request were read.
  // Requires a bounded `times`, because it also affects requests to /faults and
  // could otherwise not be cleared.
  std::int64_t reset_at_byte = -1;
  // Reset the connection after this many tokens of a stream, or instead of
  // sending a response that is not streamed.
  std::int64_t crash_after_tokens = -1;
  // With crash_after_tokens: terminate the process instead.
  bool crash_process = false;
  // Close the connection after this many tokens of a stream, or halfway through
  // the body of a response that is not streamed, so that HTTP shows it as
  // incomplete.
  std::int64_t close_after_tokens = -1;
  // End the HTTP response correctly after this many tokens of a stream, but
  // without the last chunk and the [DONE] event.
  std::int64_t truncate_after_tokens = -1;
  // Send the response a second time on the same connection.
  bool answer_twice = false;
  // Send the response and request id of the previous request.
  bool cross_answers = false;
  // Make no progress until cleared; applies to running requests too.
  bool freeze = false;
  // Multiply processing times by this factor; applies to running requests too.
  std::int64_t slow_factor = 1;
  // Report in /load that the server is about to leave.
  bool leaving = false;
  // Number of requests affected; -1 for all until the switches are replaced.
  std::int64_t times = -1;
};

// The faults that are currently set. Not thread-safe.
class FaultSwitches {
 public:
  // Replaces all faults by those in the JSON object `text`; "{}" clears them.
  // Returns an error message and changes nothing if `text` is invalid, an empty
  // string otherwise.
  std::string Set(const std::string& text);

  const Faults& current() const { return current_; }
  // Returns the faults for a request that starts now and counts it against
  // `times`; the last one clears all faults.
  Faults Take();

 private:
  Faults current_;
};

}  // namespace standin

#endif  // SUPPORT_FAULTS_H_
