#ifndef PEER_NNG_PEER_TRANSPORT_H_
#define PEER_NNG_PEER_TRANSPORT_H_

#include <memory>
#include <string>

#include "peer/peer_transport.h"

namespace bamboomount {

// nng push/pull over TCP: one pull socket that listens, one push socket for
// each peer, dialed with the first message to it.
class NngPeerTransport : public PeerTransport {
 public:
  // Listens on `listen_address`, "ip:port"; port 0 picks a free one. Throws
  // std::runtime_error if that fails.
  NngPeerTransport(InstanceId self, const std::string& listen_address);
  ~NngPeerTransport() override;
  NngPeerTransport(const NngPeerTransport&) = delete;
  NngPeerTransport& operator=(const NngPeerTransport&) = delete;

  // The address that peers connect to, with the port that was picked.
  const std::string& address() const;

  void Start(Handler handler) override;
  void Stop() override;
  void SetAddress(const InstanceId& instance,
                  const std::string& address) override;
  void Forget(const InstanceId& instance) override;
  void Send(const InstanceId& instance, const PeerMessage& message) override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace bamboomount

#endif  // PEER_NNG_PEER_TRANSPORT_H_
