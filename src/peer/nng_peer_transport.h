#ifndef PEER_NNG_PEER_TRANSPORT_H_
#define PEER_NNG_PEER_TRANSPORT_H_

#include <memory>
#include <string>

#include "peer/peer_transport.h"

namespace bamboomount {

// Transport over nng push/pull sockets and TCP. One pull socket receives all
// messages; each peer has a push socket of its own, which is dialed with the
// first message to that peer. Thread-safe.
class NngPeerTransport : public PeerTransport {
 public:
  // Listens on `listen_address`, "ip:port"; port 0 selects a free port. Throws
  // std::runtime_error if the socket cannot be opened or bound.
  NngPeerTransport(InstanceId self, const std::string& listen_address);
  ~NngPeerTransport() override;
  NngPeerTransport(const NngPeerTransport&) = delete;
  NngPeerTransport& operator=(const NngPeerTransport&) = delete;

  // The address that peers connect to, with the port that is actually bound.
  const std::string& address() const;

  void Start(Handler handler) override;
  void Stop() override;
  void SetAddress(const InstanceId& instance,
                  const std::string& address) override;
  void RemoveAddress(const InstanceId& instance) override;
  void Send(const InstanceId& instance, const PeerMessage& message) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // PEER_NNG_PEER_TRANSPORT_H_
