#ifndef ROUTER_INTERNAL_RUNNING_REQUEST_H_
#define ROUTER_INTERNAL_RUNNING_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>

#include "base/base.h"
#include "router/internal/asio.h"

namespace bamboomount {

// A request in progress that can be cancelled from any thread. The request's
// coroutine and its cancel action run on one executor.
class RunningRequest : public std::enable_shared_from_this<RunningRequest> {
 public:
  RunningRequest(asio::any_io_executor executor,
                 RequestId id,
                 std::optional<KeyId> key);

  const RequestId& id() const { return id_; }
  // Empty on routes open to all.
  const std::optional<KeyId>& key() const { return key_; }
  const asio::any_io_executor& executor() const { return executor_; }

  // Ends the request with `reason`; the first reason counts. Any thread.
  void Cancel(Error reason);

  // The following run on the executor only.
  const std::optional<Error>& cancel_reason() const { return cancel_reason_; }
  // Sets what interrupts the operation that the coroutine waits for; runs at
  // once if the request is cancelled already.
  void SetCancelAction(std::function<void()> action);
  void ClearCancelAction() { cancel_action_ = nullptr; }

 private:
  const asio::any_io_executor executor_;
  const RequestId id_;
  const std::optional<KeyId> key_;
  std::optional<Error> cancel_reason_;
  std::function<void()> cancel_action_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_RUNNING_REQUEST_H_
