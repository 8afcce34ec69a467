#ifndef SUPPORT_FAULTS_H_
#define SUPPORT_FAULTS_H_

#include <cstdint>
#include <string>

namespace standin {

// Faults of one request. Negative counts and zero durations switch a fault off.
struct Faults {
  // Wait before the request is executed.
  std::int64_t delay_ms = 0;
  // Wait after the request was executed and before its answer is sent.
  std::int64_t late_ms = 0;
  // Answer 503 without executing the request.
  bool refuse = false;
  // Execute the request and close the connection without an answer.
  bool lose_answer = false;
  // Reset the connection after so many bytes of the request were read. Needs a
  // bounded `times`, since it also affects requests to /faults.
  std::int64_t reset_at_byte = -1;
  // Reset the connection after so many tokens of a streamed answer.
  std::int64_t crash_after_tokens = -1;
  // With crash_after_tokens: end the whole process instead.
  bool crash_process = false;
  // Close the connection after so many tokens, or in the middle of a whole
  // answer, without the end that HTTP requires.
  std::int64_t close_after_tokens = -1;
  // End the HTTP answer correctly after so many tokens, without the last chunk
  // and the [DONE] event.
  std::int64_t truncate_after_tokens = -1;
  // Send the answer a second time on the same connection.
  bool answer_twice = false;
  // Send the answer, and the request id, of the request before this one.
  bool cross_answers = false;
  // Produce nothing until cleared; applies to running requests too.
  bool freeze = false;
  // Take so many times as long; applies to running requests too.
  std::int64_t slow_factor = 1;
  // Say in /load that the server is about to leave.
  bool leaving = false;
  // Requests affected; -1 for all until the next change.
  std::int64_t times = -1;
};

// The faults that are switched on.
class FaultSwitches {
 public:
  // Replaces all switches by those in the JSON object `text`; "{}" clears them.
  // Returns an error message, empty on success.
  std::string Set(const std::string& text);

  const Faults& current() const { return current_; }
  // The faults of a request that starts now; counts against `times`.
  Faults Take();

 private:
  Faults current_;
};

}  // namespace standin

#endif  // SUPPORT_FAULTS_H_
