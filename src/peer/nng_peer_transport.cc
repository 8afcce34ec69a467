#include "peer/nng_peer_transport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>

#include "peer/events.h"
#include "peer/message_codec.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// Maximum number of messages queued for one peer. With 2,200 requests per
// second over 350 routers, an owner receives fewer than 100 messages per
// second, so the queue covers several seconds.
constexpr int kSendQueueLength = 512;
constexpr int kReceiveQueueLength = 512;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1000;
// Messages to a peer that is not connected are queued until this time after the
// connection was lost or first dialed, which covers the dial for the first
// message. Later messages are dropped, because the timers of their sender
// expire long before a reconnection.
constexpr auto kMaxUnconnectedTime = std::chrono::milliseconds(500);

void ThrowIfFailed(int code, const char* what) {
  if (code != 0)
    throw std::runtime_error(std::string(what) + ": " + nng_strerror(code));
}

// Closes `socket` on a detached thread, then releases `keep_alive`. In libnng
// 1.5.2, nng_close sometimes never returns if a peer connects or disconnects at
// the same moment (2 of 200 runs of nng_peer_transport_test). This must block
// neither heartbeats nor a graceful shutdown.
void CloseInBackground(nng_socket socket, std::shared_ptr<void> keep_alive) {
  std::thread([socket, keep_alive = std::move(keep_alive)] {
    nng_close(socket);
  }).detach();
}

// Connection state of one socket. nng callbacks may access it until nng_close
// has returned.
struct PipeState {
  static std::int64_t NowNanos() {
    return std::chrono::steady_clock::now().time_since_epoch().count();
  }

  // A count rather than a flag, because the end of an old pipe may be reported
  // after the start of its successor.
  std::atomic<int> open_pipes{0};
  // Time of the last disconnection in steady_clock nanoseconds; construction
  // counts as a disconnection.
  std::atomic<std::int64_t> disconnected_at{NowNanos()};
};

// A push socket with its dialer.
class Connection {
 public:
  explicit Connection(std::string address) : address_(std::move(address)) {
    ThrowIfFailed(nng_push0_open(&socket_), "cannot open push socket");
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, kSendQueueLength);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, &Connection::OnPipe,
                    pipe_state_.get());
    nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, &Connection::OnPipe,
                    pipe_state_.get());
    const std::string url = "tcp://" + address_;
    const int code = nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (code != 0) {
      Log(peer_events::kPeerDialFailed,
          {{"address", address_}, {"error", nng_strerror(code)}});
    }
  }
  ~Connection() { CloseInBackground(socket_, pipe_state_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  const std::string& address() const { return address_; }

  void Send(const std::string& bytes) {
    if (!CanQueue())
      return;
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, bytes.size()) != 0)
      return;
    std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
    if (nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) != 0)
      nng_msg_free(message);
  }

 private:
  static void OnPipe(nng_pipe /*pipe*/, nng_pipe_ev event, void* argument) {
    auto* state = static_cast<PipeState*>(argument);
    if (event == NNG_PIPE_EV_ADD_POST) {
      ++state->open_pipes;
      return;
    }
    state->disconnected_at.store(PipeState::NowNanos());
    --state->open_pipes;
  }

  bool CanQueue() const {
    const std::chrono::nanoseconds unconnected_time(
        PipeState::NowNanos() - pipe_state_->disconnected_at);
    return pipe_state_->open_pipes > 0 ||
           unconnected_time < kMaxUnconnectedTime;
  }

  const std::string address_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  const std::shared_ptr<PipeState> pipe_state_ = std::make_shared<PipeState>();
};

}  // namespace

class NngPeerTransport::Impl {
 public:
  Impl(InstanceId self, const std::string& listen_address)
      : self_(std::move(self)) {
    ThrowIfFailed(nng_pull0_open(&pull_), "cannot open pull socket");
    nng_socket_set_size(pull_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    nng_socket_set_int(pull_, NNG_OPT_RECVBUF, kReceiveQueueLength);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const std::string url = "tcp://" + listen_address;
    const int code = nng_listen(pull_, url.c_str(), &listener, 0);
    if (code != 0) {
      nng_close(pull_);
      ThrowIfFailed(code, ("cannot listen on " + listen_address).c_str());
    }
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    address_ = listen_address.substr(0, listen_address.rfind(':') + 1) +
               std::to_string(port);
  }

  ~Impl() { Stop(); }

  const std::string& address() const { return address_; }

  void Start(Handler handler) {
    handler_ = std::move(handler);
    ThrowIfFailed(nng_aio_alloc(&receive_, &Impl::OnReceived, this),
                  "cannot allocate the receive operation");
    nng_recv_aio(pull_, receive_);
    Log(peer_events::kListening, {{"address", address_}});
  }

  void Stop() {
    if (stopped_.exchange(true))
      return;
    if (receive_ != nullptr) {
      // Waits for a running handler to return.
      nng_aio_stop(receive_);
      nng_aio_free(receive_);
    }
    CloseInBackground(pull_, nullptr);
    const std::lock_guard lock(mutex_);
    connections_.clear();
  }

  void SetAddress(const InstanceId& instance, const std::string& address) {
    std::shared_ptr<Connection> replaced;
    const std::lock_guard lock(mutex_);
    addresses_[instance] = address;
    const auto found = connections_.find(instance);
    if (found == connections_.end() || found->second->address() == address)
      return;
    replaced = std::move(found->second);
    connections_.erase(found);
  }

  void RemoveAddress(const InstanceId& instance) {
    std::shared_ptr<Connection> closed;
    const std::lock_guard lock(mutex_);
    addresses_.erase(instance);
    const auto found = connections_.find(instance);
    if (found == connections_.end())
      return;
    closed = std::move(found->second);
    connections_.erase(found);
  }

  void Send(const InstanceId& instance, const PeerMessage& message) {
    const auto connection = ConnectionTo(instance);
    if (connection == nullptr)
      return;
    const std::string bytes = EncodeMessage(self_, message);
    if (bytes.size() <= kMaxMessageBytes)
      connection->Send(bytes);
  }

 private:
  std::shared_ptr<Connection> ConnectionTo(const InstanceId& instance) {
    const std::lock_guard lock(mutex_);
    if (stopped_)
      return nullptr;
    const auto found = connections_.find(instance);
    if (found != connections_.end())
      return found->second;
    const auto address = addresses_.find(instance);
    if (address == addresses_.end())
      return nullptr;
    return connections_
        .emplace(instance, std::make_shared<Connection>(address->second))
        .first->second;
  }

  // Runs on an nng thread. The next receive starts after the handler has
  // returned, so that messages are handled one at a time.
  static void OnReceived(void* argument) {
    auto* self = static_cast<Impl*>(argument);
    const int code = nng_aio_result(self->receive_);
    if (code == 0)
      self->HandleReceived(nng_aio_get_msg(self->receive_));
    if (code != NNG_ECLOSED && code != NNG_ECANCELED && !self->stopped_)
      nng_recv_aio(self->pull_, self->receive_);
  }

  void HandleReceived(nng_msg* message) {
    const auto decoded =
        DecodeMessage({static_cast<const char*>(nng_msg_body(message)),
                       nng_msg_len(message)});
    nng_msg_free(message);
    if (stopped_)
      return;
    if (!decoded) {
      Log(peer_events::kMessageRefused, {{"error", decoded.error().message}});
      return;
    }
    handler_(decoded.value().sender, decoded.value().message);
  }

  const InstanceId self_;
  std::string address_;
  nng_socket pull_ = NNG_SOCKET_INITIALIZER;
  Handler handler_;
  nng_aio* receive_ = nullptr;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::unordered_map<InstanceId, std::string> addresses_;
  std::unordered_map<InstanceId, std::shared_ptr<Connection>> connections_;
};

NngPeerTransport::NngPeerTransport(InstanceId self,
                                   const std::string& listen_address)
    : impl_(std::make_unique<Impl>(std::move(self), listen_address)) {}

NngPeerTransport::~NngPeerTransport() = default;

const std::string& NngPeerTransport::address() const {
  return impl_->address();
}

void NngPeerTransport::Start(Handler handler) {
  impl_->Start(std::move(handler));
}

void NngPeerTransport::Stop() {
  impl_->Stop();
}

void NngPeerTransport::SetAddress(const InstanceId& instance,
                                  const std::string& address) {
  impl_->SetAddress(instance, address);
}

void NngPeerTransport::RemoveAddress(const InstanceId& instance) {
  impl_->RemoveAddress(instance);
}

void NngPeerTransport::Send(const InstanceId& instance,
                            const PeerMessage& message) {
  impl_->Send(instance, message);
}

}  // namespace bamboomount
