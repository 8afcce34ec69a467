#include "router/internal/slot_wait.h"

#include <memory>
#include <optional>

namespace bamboomount {
namespace {

struct SlotWaitState {
  explicit SlotWaitState(const asio::any_io_executor& executor)
      : wake_timer(executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer wake_timer;
  std::optional<Result<Slot>> result;
};

}  // namespace

asio::awaitable<Result<Slot>> WaitForSlot(SlotBroker& broker,
                                          const PoolId& pool,
                                          const SlotRequest& slot_request,
                                          RunningRequest& request) {
  const auto state = std::make_shared<SlotWaitState>(request.executor());
  request.SetCancelAction([state] { state->wake_timer.cancel(); });
  if (request.cancel_reason()) {
    request.ClearCancelAction();
    co_return *request.cancel_reason();
  }
  broker.Request(pool, slot_request, [state](Result<Slot> result) {
    asio::post(state->wake_timer.get_executor(),
               [state, result = std::move(result)] {
                 state->result = result;
                 state->wake_timer.cancel();
               });
  });
  error_code ignored;
  while (!state->result && !request.cancel_reason())
    co_await state->wake_timer.async_wait(RedirectError(ignored));
  request.ClearCancelAction();
  if (request.cancel_reason()) {
    broker.Cancel(slot_request.request);
    co_return *request.cancel_reason();
  }
  co_return *state->result;
}

}  // namespace bamboomount
