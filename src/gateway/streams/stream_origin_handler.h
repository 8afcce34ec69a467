#ifndef GATEWAY_STREAMS_STREAM_ORIGIN_HANDLER_H_
#define GATEWAY_STREAMS_STREAM_ORIGIN_HANDLER_H_

#include "gateway/membership/member.h"
#include "gateway/streams/stream_origin_message.h"

namespace bamboomount {

// Handles messages of other instances about the origins of streams.
class StreamOriginHandler {
 public:
  virtual ~StreamOriginHandler() = default;
  virtual void OnMessage(const StreamOriginMessage& message,
                         const Member& sender) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_STREAM_ORIGIN_HANDLER_H_
