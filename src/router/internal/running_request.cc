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
               if (self->reason_)
                 return;
               self->reason_ = reason;
               if (self->action_)
                 self->action_();
             });
}

void RunningRequest::SetCancelAction(std::function<void()> action) {
  action_ = std::move(action);
  if (reason_)
    action_();
}

}  // namespace bamboomount
