#ifndef GATEWAY_FORWARDING_SSE_FRAMER_H_
#define GATEWAY_FORWARDING_SSE_FRAMER_H_

#include <string>
#include <string_view>

namespace bamboomount {

// Splits a stream of server-sent events at event boundaries, so that only
// complete events are forwarded and another backend server can resume after the
// last one.
class SseFramer {
 public:
  // Adds bytes and returns the buffered bytes up to the end of the last
  // complete event.
  std::string Add(std::string_view bytes);
  // Discards an event that the server did not complete.
  void DropPartialEvent() { partial_.clear(); }
  // Number of buffered bytes of the event that is not complete yet.
  std::size_t partial_bytes() const { return partial_.size(); }
  bool at_boundary() const { return partial_.empty(); }
  // The place up to which the stream was forwarded: the id of the last complete
  // event that had a usable one; empty if none had. Ids increase, so one that
  // is no greater number than the one before it is not usable: the server
  // spoilt the event. Nor is one that cannot stand in the head of a request.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  void RecordEventIds(std::string_view events);
  void RecordEventId(std::string_view id);

  std::string partial_;
  std::string last_event_id_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_SSE_FRAMER_H_
