#ifndef GATEWAY_FORWARDING_SSE_FRAMER_H_
#define GATEWAY_FORWARDING_SSE_FRAMER_H_

#include <string>
#include <string_view>

namespace bamboomount {

// Follows the bytes of a stream of server-sent events: whole events are passed
// on, so that another backend server can continue after the last one.
class SseFramer {
 public:
  // Adds bytes and returns the part that ends with the last whole event.
  std::string Add(std::string_view bytes);
  // Drops the start of an event that its server did not finish.
  void DropPartialEvent() { partial_.clear(); }
  bool at_boundary() const { return partial_.empty(); }
  // The id of the last whole event; empty if it had none.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  void RecordEventIds(std::string_view events);

  std::string partial_;
  std::string last_event_id_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_SSE_FRAMER_H_
