#ifndef PEER_PEER_TRANSPORT_H_
#define PEER_PEER_TRANSPORT_H_

#include <functional>
#include <string>

#include "peer/messages.h"

namespace bamboomount {

// Sends one-way messages to other routers. A message may be lost, delayed or
// arrive twice; the sender's timer decides. Thread-safe.
class PeerTransport {
 public:
  using Handler =
      std::function<void(const InstanceId& sender, const PeerMessage&)>;

  virtual ~PeerTransport() = default;

  // `handler` runs for each received message, on a thread of the transport
  // that does no other work meanwhile. It must not block. Call once, before
  // the first message can arrive.
  virtual void Start(Handler handler) = 0;
  // No handler runs after Stop has returned. Not to be called by the handler.
  virtual void Stop() = 0;

  // Where `instance` can be reached, "ip:port". Replaces an older address.
  virtual void SetAddress(const InstanceId& instance,
                          const std::string& address) = 0;
  // Closes the connection to `instance` and forgets its address.
  virtual void Forget(const InstanceId& instance) = 0;
  // Never blocks. The message is dropped if the address is unknown, the peer
  // cannot be reached or its queue is full.
  virtual void Send(const InstanceId& instance, const PeerMessage& message) = 0;
};

}  // namespace bamboomount

#endif  // PEER_PEER_TRANSPORT_H_
