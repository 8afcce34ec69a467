#include "support/tcp_proxy.h"

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <future>
#include <list>
#include <sstream>
#include <string_view>
#include <thread>
#include <vector>

namespace bamboomount::support {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 16384;

tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::socket::linger(true, 0), ignored);
  socket.close(ignored);
}

// How often a link that hangs looks whether it may go on.
constexpr std::chrono::milliseconds kHangPollInterval{5};
constexpr int kListenBacklog = 128;
// Connections that fill the queue of a listener with a backlog of 0.
constexpr int kFillers = 3;

// The current settings of the proxy; links read them for each buffer of bytes.
struct LinkState {
  LinkMode mode = LinkMode::kForward;
  std::chrono::milliseconds delay{0};
  std::vector<std::pair<std::string, std::string>> replacements;
};

void ReplaceIn(std::string_view from,
               std::string_view to,
               char* bytes,
               std::size_t size) {
  char* const end = bytes + size;
  char* at = std::search(bytes, end, from.begin(), from.end());
  while (at != end) {
    at = std::copy(to.begin(), to.end(), at);
    at = std::search(at, end, from.begin(), from.end());
  }
}

class Link;

// Forwards bytes from one socket to the other, in order.
class ByteForwarder {
 public:
  ByteForwarder(Link& link, tcp::socket& from, tcp::socket& to, bool to_target)
      : link_(link),
        from_(from),
        to_(to),
        to_target_(to_target),
        timer_(from.get_executor()) {}

  void Read(const std::shared_ptr<Link>& self);

 private:
  void Forward(const std::shared_ptr<Link>& self, std::size_t size);

  Link& link_;
  tcp::socket& from_;
  tcp::socket& to_;
  const bool to_target_;
  asio::steady_timer timer_;
  std::array<char, kBufferBytes> bytes_{};
};

// One connection through the proxy.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& context, tcp::socket client, const LinkState& state)
      : client_(std::move(client)),
        target_(context),
        state_(state),
        forward_(*this, client_, target_, true),
        backward_(*this, target_, client_, false) {}

  void Start(const tcp::endpoint& target) {
    target_.async_connect(
        target, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->ResetBoth();
            return;
          }
          error_code ignored;
          self->client_.set_option(tcp::no_delay(true), ignored);
          self->target_.set_option(tcp::no_delay(true), ignored);
          self->forward_.Read(self);
          self->backward_.Read(self);
        });
  }
  void ResetBoth() {
    Reset(client_);
    Reset(target_);
  }
  bool open() const { return client_.is_open() || target_.is_open(); }
  const LinkState& state() const { return state_; }

 private:
  tcp::socket client_;
  tcp::socket target_;
  const LinkState& state_;
  ByteForwarder forward_;
  ByteForwarder backward_;
};

void ByteForwarder::Read(const std::shared_ptr<Link>& self) {
  from_.async_read_some(
      asio::buffer(bytes_),
      [this, self](const error_code& error, std::size_t size) {
        if (error == asio::error::eof) {
          error_code ignored;
          to_.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        if (error) {
          link_.ResetBoth();
          return;
        }
        timer_.expires_after(link_.state().delay);
        timer_.async_wait(
            [this, self, size](const error_code&) { Forward(self, size); });
      });
}

void ByteForwarder::Forward(const std::shared_ptr<Link>& self,
                            std::size_t size) {
  const LinkMode mode = link_.state().mode;
  if (mode == LinkMode::kHang) {
    timer_.expires_after(kHangPollInterval);
    timer_.async_wait(
        [this, self, size](const error_code&) { Forward(self, size); });
    return;
  }
  // Dropped bytes are lost for good, also if the mode changes back.
  if (mode == LinkMode::kDropBothDirections ||
      (mode == LinkMode::kDropFromTarget && !to_target_)) {
    Read(self);
    return;
  }
  if (!to_target_) {
    for (const auto& [from, to] : link_.state().replacements)
      ReplaceIn(from, to, bytes_.data(), size);
  }
  asio::async_write(to_, asio::buffer(bytes_.data(), size),
                    [this, self](const error_code& error, std::size_t) {
                      if (error)
                        link_.ResetBoth();
                      else
                        Read(self);
                    });
}

}  // namespace

class TcpProxy::Impl {
 public:
  explicit Impl(const std::string& target)
      : target_(ParseEndpoint(target)), acceptor_(context_) {
    Bind();
    Listen();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Impl() {
    context_.stop();
    thread_.join();
  }

  std::string address() const {
    std::ostringstream text;
    text << acceptor_.local_endpoint();
    return text.str();
  }

  // Runs `action` on the proxy's thread.
  template <typename Action>
  void Run(Action action) {
    std::promise<void> done;
    asio::post(context_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  void SetMode(LinkMode mode) {
    state_.mode = mode;
    if (mode == LinkMode::kReset || mode == LinkMode::kRefuse)
      ResetConnections();
    if (mode == LinkMode::kRefuse || mode == LinkMode::kRefuseNew)
      Refuse();
    else if (mode == LinkMode::kHang)
      HangUpNew();
    else if (!listening_)
      Listen();
  }

  void ResetConnections() {
    for (const auto& link : links_)
      link->ResetBoth();
    links_.clear();
  }

  LinkState& state() { return state_; }

 private:
  // Binds the acceptor to a port that it keeps while it does not listen, which
  // it does only if the port is given.
  void Bind() {
    tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    error_code error;
    do {
      endpoint.port(tcp::acceptor(context_, endpoint).local_endpoint().port());
      error_code ignored;
      acceptor_.close(ignored);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint, error);
      endpoint.port(0);
    } while (error);
  }

  void Listen() {
    fillers_.clear();
    acceptor_.listen(kListenBacklog);
    listening_ = true;
    Accept();
  }

  void Refuse() {
    StopAccepting();
    fillers_.clear();
    ::shutdown(acceptor_.native_handle(), SHUT_RD);
  }

  // Fills the queue of new connections, so that further ones get no answer.
  void HangUpNew() {
    StopAccepting();
    acceptor_.listen(0);
    for (int i = 0; i < kFillers; ++i) {
      fillers_.emplace_back(context_);
      fillers_.back().async_connect(acceptor_.local_endpoint(),
                                    [](const error_code&) {});
    }
  }

  void StopAccepting() {
    listening_ = false;
    error_code ignored;
    acceptor_.cancel(ignored);
  }

  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket client) {
      if (!error)
        Serve(std::move(client));
      if (listening_ && error != asio::error::operation_aborted)
        Accept();
    });
  }

  void Serve(tcp::socket client) {
    if (state_.mode == LinkMode::kReset || !listening_) {
      Reset(client);
      return;
    }
    links_.remove_if([](const auto& link) { return !link->open(); });
    links_.push_back(
        std::make_shared<Link>(context_, std::move(client), state_));
    links_.back()->Start(target_);
  }

  const tcp::endpoint target_;
  asio::io_context context_{1};
  // Keeps the thread running while the proxy accepts nothing.
  const asio::executor_work_guard<asio::io_context::executor_type> work_{
      context_.get_executor()};
  LinkState state_;
  tcp::acceptor acceptor_;
  bool listening_ = false;
  std::list<tcp::socket> fillers_;
  std::list<std::shared_ptr<Link>> links_;
  std::thread thread_;
};

TcpProxy::TcpProxy(const std::string& target)
    : impl_(std::make_unique<Impl>(target)) {}

TcpProxy::~TcpProxy() = default;

std::string TcpProxy::address() const {
  return impl_->address();
}

void TcpProxy::SetMode(LinkMode mode) {
  impl_->Run([this, mode] { impl_->SetMode(mode); });
}

void TcpProxy::Replace(const std::string& from, const std::string& to) {
  impl_->Run([&] { impl_->state().replacements.emplace_back(from, to); });
}

void TcpProxy::SetDelay(std::chrono::milliseconds delay) {
  impl_->Run([this, delay] { impl_->state().delay = delay; });
}

void TcpProxy::ResetConnections() {
  impl_->Run([this] { impl_->ResetConnections(); });
}

}  // namespace bamboomount::support
