#include "router/router_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ssl/context.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "router/events.h"
#include "router/internal/caller_session.h"
#include "router/internal/endpoint.h"

namespace bamboomount {
namespace {

constexpr int kBlockingThreadCount = 16;
// Calls of the platform's store that may wait or run at the same time.
constexpr int kMaxBlockingCalls = 256;
// No request waits longer than this for one answer of the store.
constexpr Millis kStoreTimeout{2000};
constexpr Millis kMaintenanceInterval{500};
constexpr Millis kDrainPollInterval{20};
constexpr Millis kAcceptRetryDelay{50};

}  // namespace

class RouterServer::Impl {
 public:
  Impl(RouterOptions options, RouterDependencies dependencies)
      : options_(std::move(options)),
        dependencies_(std::move(dependencies)),
        blocking_pool_(kBlockingThreadCount, kMaxBlockingCalls),
        claims_(dependencies_.table, options_.instance, kStoreTimeout),
        context_{options_,       dependencies_, running_,
                 blocking_pool_, claims_,       retry_budget_},
        handler_(context_) {
    for (int i = 0; i < std::max(1, options_.threads); ++i)
      contexts_.push_back(std::make_unique<asio::io_context>(1));
    dependencies_.state.AddListener(
        [this](const auto& state) { CancelWithdrawnRequests(*state); });
  }

  ~Impl() {
    stopping_ = true;
    for (const auto& context : contexts_)
      context->stop();
    for (std::thread& thread : threads_)
      thread.join();
    if (maintenance_thread_.joinable())
      maintenance_thread_.join();
  }

  void Start() {
    SetUpTls();
    OpenListener();
    for (const auto& context : contexts_) {
      work_guards_.push_back(asio::make_work_guard(*context));
      threads_.emplace_back([&context] { context->run(); });
    }
    asio::co_spawn(*contexts_.front(), AcceptConnections(), asio::detached);
    maintenance_thread_ = std::thread([this] { RunMaintenance(); });
    Log(kRouterListening, {{"address", listen_address()}});
  }

  std::string listen_address() const {
    return local_endpoint_.address().to_string() + ":" +
           std::to_string(local_endpoint_.port());
  }

  void Drain() {
    Log(kDrainStarted);
    std::this_thread::sleep_for(
        AddressTimeToLive(*dependencies_.state.current()->config));
    closing_ = true;
    asio::post(*contexts_.front(), [this] {
      error_code ignored;
      acceptor_->close(ignored);
    });
    while (running_.count() > 0 || CloseIdleSessions() > 0)
      std::this_thread::sleep_for(kDrainPollInterval);
    Log(kDrainFinished);
  }

  int running_requests() const { return running_.count(); }

 private:
  void SetUpTls() {
    if (options_.tls_certificate.empty())
      return;
    tls_context_.emplace(asio::ssl::context::tls_server);
    tls_context_->set_options(asio::ssl::context::default_workarounds |
                              asio::ssl::context::no_tlsv1 |
                              asio::ssl::context::no_tlsv1_1);
    tls_context_->use_certificate_chain_file(options_.tls_certificate);
    tls_context_->use_private_key_file(options_.tls_key,
                                       asio::ssl::context::pem);
  }

  void OpenListener() {
    const auto endpoint = ParseEndpoint(options_.listen_address);
    if (!endpoint)
      throw boost::system::system_error(asio::error::invalid_argument,
                                        options_.listen_address);
    acceptor_.emplace(*contexts_.front());
    acceptor_->open(endpoint->protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(*endpoint);
    acceptor_->listen();
    local_endpoint_ = acceptor_->local_endpoint();
  }

  asio::awaitable<void> AcceptConnections() {
    std::size_t next = 0;
    while (acceptor_->is_open()) {
      asio::io_context& context = *contexts_[next++ % contexts_.size()];
      error_code error;
      tcp::socket socket(context);
      co_await acceptor_->async_accept(socket, RedirectError(error));
      if (error == asio::error::operation_aborted)
        co_return;
      if (error) {
        Log(kAcceptFailed, {{"error", error.message()}});
        asio::steady_timer delay(*contexts_.front(), kAcceptRetryDelay);
        co_await delay.async_wait(RedirectError(error));
        continue;
      }
      AddSession(StartCallerSession(
          std::move(socket), tls_context_ ? &*tls_context_ : nullptr,
          {handler_, dependencies_.metrics, dependencies_.state, closing_}));
    }
  }

  void AddSession(const std::shared_ptr<CallerSession>& session) {
    const std::lock_guard lock(sessions_mutex_);
    sessions_.push_back(session);
  }

  // Returns how many sessions are still open.
  std::size_t CloseIdleSessions() {
    const std::lock_guard lock(sessions_mutex_);
    std::erase_if(sessions_,
                  [](const auto& session) { return session.expired(); });
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock())
        session->CloseIfIdle();
    }
    return sessions_.size();
  }

  void CancelWithdrawnRequests(const ControlState& state) {
    std::set<KeyId> withdrawn = dependencies_.state.emergency_withdrawals();
    for (const auto& [digest, entry] : state.keys) {
      if (entry.withdrawn)
        withdrawn.insert(entry.key);
    }
    running_.CancelRequestsByKey(
        {ErrorCode::kWithdrawnKey,
         RunVerdict::kMayHaveRun,
         "the key was withdrawn while the request ran",
         {}},
        [&](const KeyId& key) { return withdrawn.contains(key); });
  }

  void RunMaintenance() {
    while (!stopping_) {
      std::this_thread::sleep_for(kMaintenanceInterval);
      if (!dependencies_.is_fresh())
        running_.CancelRequestsByKey(
            {ErrorCode::kStaleState,
             RunVerdict::kMayHaveRun,
             "this instance can no longer confirm that keys are granted",
             {}},
            [](const KeyId&) { return true; });
      claims_.RetryPendingUpdates();
      dependencies_.metrics.SetGauge("bamboomount_running_requests", {},
                                     running_.count());
      if (!closing_)
        RemoveClosedSessions();
    }
  }

  void RemoveClosedSessions() {
    const std::lock_guard lock(sessions_mutex_);
    std::erase_if(sessions_,
                  [](const auto& session) { return session.expired(); });
  }

  const RouterOptions options_;
  RouterDependencies dependencies_;
  RunningRequests running_;
  BlockingPool blocking_pool_;
  ClaimStore claims_;
  SharedRetryBudget retry_budget_;
  HandlerContext context_;
  RequestHandler handler_;
  std::optional<asio::ssl::context> tls_context_;
  // One event loop and one thread each; a connection stays on its loop.
  std::vector<std::unique_ptr<asio::io_context>> contexts_;
  std::vector<asio::executor_work_guard<asio::io_context::executor_type>>
      work_guards_;
  std::optional<tcp::acceptor> acceptor_;
  tcp::endpoint local_endpoint_;
  std::vector<std::thread> threads_;
  std::thread maintenance_thread_;
  std::mutex sessions_mutex_;
  std::vector<std::weak_ptr<CallerSession>> sessions_;
  std::atomic<bool> closing_ = false;
  std::atomic<bool> stopping_ = false;
};

RouterServer::RouterServer(RouterOptions options,
                           RouterDependencies dependencies)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   std::move(dependencies))) {}

RouterServer::~RouterServer() = default;

void RouterServer::Start() {
  impl_->Start();
}

std::string RouterServer::listen_address() const {
  return impl_->listen_address();
}

void RouterServer::Drain() {
  impl_->Drain();
}

int RouterServer::running_requests() const {
  return impl_->running_requests();
}

}  // namespace bamboomount
