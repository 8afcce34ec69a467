#include "gateway/duties/usage_delivery.h"

#include <algorithm>

namespace bamboomount {

void UsageDelivery::ObserveHolder(FencingToken token) {
  if (token <= token_)
    return;
  token_ = token;
  received_through_ = WindowNumber();
}

void UsageDelivery::RecordReceived(FencingToken token, WindowNumber window) {
  ObserveHolder(token);
  if (token == token_)
    received_through_ = std::max(received_through_, window);
}

void UsageDelivery::ObserveSealed(WindowNumber window) {
  sealed_through_ = std::max(sealed_through_, window);
}

WindowNumber UsageDelivery::delivered_through() const {
  return std::max(received_through_, sealed_through_);
}

}  // namespace bamboomount
