#include "gateway/connection_listener.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "gateway/forwarding/endpoint.h"

namespace bamboomount {
namespace {

constexpr int kListenBacklog = 512;
// Delay after an accept that failed, for example for lack of descriptors.
constexpr Millis kAcceptRetryDelay{50};

}  // namespace

ConnectionListener::ConnectionListener(asio::io_context& context,
                                       ConnectionListenerOwner& owner,
                                       Options options,
                                       Handler handler)
    : owner_(owner),
      options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(context),
      retry_timer_(context) {
  const auto endpoint = ParseIpEndpoint(options_.address);
  if (!endpoint)
    throw std::runtime_error("invalid listen address, expected ip:port: " +
                             options_.address);
  acceptor_.open(endpoint->protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(*endpoint);
  acceptor_.listen(kListenBacklog);
  Accept();
}

void ConnectionListener::OnRequest(IncomingRequest request,
                                   std::shared_ptr<CallerReply> reply) {
  handler_(std::move(request), std::move(reply));
}

bool ConnectionListener::refuses_requests() const {
  return options_.refuses_when_scarce &&
         owner_.memory()->state() != MemoryState::kNormal;
}

bool ConnectionListener::IsBusy() const {
  return std::any_of(
      connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->busy() || connection->HasUnreadRequest();
      });
}

std::string ConnectionListener::address() const {
  std::ostringstream text;
  text << acceptor_.local_endpoint();
  return text.str();
}

void ConnectionListener::EraseClosed() {
  connections_.remove_if(
      [](const auto& connection) { return connection->closed(); });
}

void ConnectionListener::CheckTimeouts(Instant now) {
  for (const auto& connection : connections_)
    connection->CheckTimeouts(now);
  EraseClosed();
}

void ConnectionListener::StopAccepting() {
  if (!acceptor_.is_open())
    return;
  AcceptPendingConnections();
  error_code ignored;
  acceptor_.close(ignored);
}

void ConnectionListener::CloseIdle() {
  for (const auto& connection : connections_)
    connection->CloseIfIdle();
}

void ConnectionListener::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    // Also if the listener was closed after the accept.
    if (!error)
      StartConnection(std::move(socket));
    if (!acceptor_.is_open())
      return;
    if (error)
      AcceptLater();
    else
      Accept();
  });
}

void ConnectionListener::AcceptLater() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](const error_code& error) {
    if (!error && acceptor_.is_open())
      Accept();
  });
}

void ConnectionListener::AcceptPendingConnections() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error)
      StartConnection(std::move(socket));
  }
}

void ConnectionListener::StartConnection(tcp::socket socket) {
  if (connections_.size() >= options_.max_connections && !CloseOneConnection())
    return;
  connections_.push_back(
      std::make_shared<CallerConnection>(std::move(socket), *this));
  connections_.back()->Start();
}

bool ConnectionListener::CloseOneConnection() {
  EraseClosed();
  if (connections_.size() < options_.max_connections)
    return true;
  const auto least = std::min_element(
      connections_.begin(), connections_.end(),
      [](const auto& a, const auto& b) {
        const ConnectionLoad first = a->load();
        const ConnectionLoad second = b->load();
        return std::tuple(first.activity, first.last_progress) <
               std::tuple(second.activity, second.last_progress);
      });
  owner_.CountClosedConnections("descriptors", 1);
  if ((*least)->load().activity == ConnectionActivity::kWaitingForServer)
    return false;
  (*least)->Close();
  connections_.erase(least);
  return true;
}

}  // namespace bamboomount
