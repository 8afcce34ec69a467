#include "router/internal/slot_wait.h"

#include <memory>
#include <optional>

namespace bamboomount {
namespace {

struct WaitState {
  explicit WaitState(const asio::any_io_executor& executor)
      : wake(executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer wake;
  std::optional<Result<Slot>> answer;
};

}  // namespace

asio::awaitable<Result<Slot>> WaitForSlot(SlotBroker& broker,
                                          const PoolId& pool,
                                          const SlotRequest& slot_request,
                                          RunningRequest& request) {
  const auto state = std::make_shared<WaitState>(request.executor());
  request.SetCancelAction([state] { state->wake.cancel(); });
  if (request.cancel_reason()) {
    request.ClearCancelAction();
    co_return *request.cancel_reason();
  }
  broker.Request(pool, slot_request, [state](Result<Slot> answer) {
    asio::post(state->wake.get_executor(), [state, answer = std::move(answer)] {
      state->answer = answer;
      state->wake.cancel();
    });
  });
  error_code ignored;
  while (!state->answer && !request.cancel_reason())
    co_await state->wake.async_wait(Await(ignored));
  request.ClearCancelAction();
  if (request.cancel_reason()) {
    broker.Cancel(slot_request.request);
    co_return *request.cancel_reason();
  }
  co_return *state->answer;
}

}  // namespace bamboomount
