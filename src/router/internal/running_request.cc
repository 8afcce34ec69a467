#include "router/internal/running_request.h"

namespace bamboomount {

RunningRequest::RunningRequest(asio::any_io_executor executor,
                               RequestId id,
                               std::optional<KeyId> key)
    : executor_(std::move(executor)),
      id_(std::move(id)),
      key_(std::move(key)) {}

void RunningRequest::Cancel(Error reason) {
  asio::post(executor_,
             [self = shared_from_this(), reason = std::move(reason)] {
               if (self->cancel_reason_)
                 return;
               self->cancel_reason_ = reason;
               if (self->cancel_action_)
                 self->cancel_action_();
             });
}

void RunningRequest::SetCancelAction(std::function<void()> action) {
  cancel_action_ = std::move(action);
  if (cancel_reason_)
    cancel_action_();
}

}  // namespace bamboomount
