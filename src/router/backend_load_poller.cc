#include "router/backend_load_poller.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "router/internal/asio.h"
#include "router/internal/backend_call.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr std::size_t kMaxReportBytes = 64'000;

std::optional<LoadReport> ParseLoadReport(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  try {
    LoadReport report;
    report.running = json.value("running", 0);
    report.waiting = json.value("waiting", 0);
    report.tokens_per_second = json.value("tokens_per_second", 0.0);
    report.leaving = json.value("leaving", false);
    report.age = Millis(json.value("age_ms", std::int64_t{0}));
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

asio::awaitable<Result<std::string>> ReadLoad(RunningRequest& request,
                                              const std::string& address,
                                              Millis timeout) {
  BackendCall call(request);
  auto connected = co_await call.Connect(address, timeout);
  if (!connected)
    co_return connected.error();
  BackendRequest load_request(http::verb::get, "/load", 11);
  load_request.set(http::field::host, address);
  load_request.set(http::field::connection, "close");
  auto sent = co_await call.Send(load_request, timeout);
  if (!sent)
    co_return sent.error();
  auto head = co_await call.ReadHead(timeout);
  if (!head)
    co_return head.error();
  if (head.value().status != kHttpOk)
    co_return Error{ErrorCode::kBackendFailed,
                    RunVerdict::kMayHaveRun,
                    "no load report",
                    {}};
  auto body = co_await call.ReadAll(kMaxReportBytes, timeout);
  co_return body;
}

}  // namespace

class BackendLoadPoller::Impl {
 public:
  Impl(TargetProvider targets, Observer observer, Millis interval)
      : targets_(std::move(targets)),
        observer_(std::move(observer)),
        interval_(interval) {}

  void Start() {
    asio::co_spawn(
        context_, [this] { return RunPollLoop(); }, asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }

  void Stop() {
    context_.stop();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  asio::awaitable<void> RunPollLoop() {
    asio::steady_timer timer(context_);
    while (true) {
      for (const PolledBackend& target : targets_()) {
        if (!polls_in_progress_.insert(target.backend).second)
          continue;
        asio::co_spawn(
            context_, [this, target] { return PollBackend(target); },
            asio::detached);
      }
      error_code ignored;
      timer.expires_after(interval_);
      co_await timer.async_wait(RedirectError(ignored));
    }
  }

  asio::awaitable<void> PollBackend(PolledBackend target) {
    const auto executor = co_await asio::this_coro::executor;
    const auto request = std::make_shared<RunningRequest>(
        executor, RequestId("load-poll"), std::nullopt);
    auto text = co_await ReadLoad(*request, target.address, interval_);
    polls_in_progress_.erase(target.backend);
    const auto report =
        text ? ParseLoadReport(text.value()) : std::optional<LoadReport>();
    if (report)
      observer_(target.backend, *report);
  }

  const TargetProvider targets_;
  const Observer observer_;
  const Millis interval_;
  asio::io_context context_{1};
  std::set<BackendId> polls_in_progress_;
  std::thread thread_;
};

BackendLoadPoller::BackendLoadPoller(TargetProvider targets,
                                     Observer observer,
                                     Millis interval)
    : impl_(std::make_unique<Impl>(std::move(targets),
                                   std::move(observer),
                                   interval)) {}

BackendLoadPoller::~BackendLoadPoller() {
  Stop();
}

void BackendLoadPoller::Start() {
  impl_->Start();
}

void BackendLoadPoller::Stop() {
  impl_->Stop();
}

}  // namespace bamboomount
