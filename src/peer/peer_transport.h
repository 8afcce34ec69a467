#ifndef PEER_PEER_TRANSPORT_H_
#define PEER_PEER_TRANSPORT_H_

#include <functional>
#include <string>

#include "peer/messages.h"

namespace bamboomount {

// Sends one-way messages to other routers. A message may be lost, delayed or
// duplicated; senders cover this with timers of their own. Thread-safe.
class PeerTransport {
 public:
  using Handler =
      std::function<void(const InstanceId& sender, const PeerMessage&)>;

  virtual ~PeerTransport() = default;

  // Starts to receive. `handler` runs for each received message, on a transport
  // thread that does no other work meanwhile, and must not block. Call once,
  // before the first message can arrive.
  virtual void Start(Handler handler) = 0;
  // Stops receiving; no handler runs after Stop has returned. Must not be
  // called from the handler.
  virtual void Stop() = 0;

  // Sets the address of `instance`, "ip:port", and replaces an earlier one.
  virtual void SetAddress(const InstanceId& instance,
                          const std::string& address) = 0;
  // Closes the connection to `instance` and removes its address.
  virtual void RemoveAddress(const InstanceId& instance) = 0;
  // Sends without blocking. The message is dropped if the address is unknown,
  // the peer is unreachable or its queue is full.
  virtual void Send(const InstanceId& instance, const PeerMessage& message) = 0;
};

}  // namespace bamboomount

#endif  // PEER_PEER_TRANSPORT_H_
