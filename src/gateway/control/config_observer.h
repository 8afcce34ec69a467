#ifndef GATEWAY_CONTROL_CONFIG_OBSERVER_H_
#define GATEWAY_CONTROL_CONFIG_OBSERVER_H_

#include <functional>
#include <vector>

#include "gateway/control/state_decoder.h"
#include "gateway/gateway_state.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Puts the operator's configuration in force.
class ConfigObserver : public TableObserver {
 public:
  ConfigObserver(const StateDecoder& decoder, GatewayState& state)
      : decoder_(decoder), state_(state) {}

  void OnSnapshot(const std::vector<TableRow>& rows) override;
  void OnChanges(const std::vector<TableRow>& rows) override;
  void OnConfirmed(const StoreResponseInfo& info) override;
  void OnConfirmedByPeer(Millis store_time) override;

 private:
  bool IsReadable() const { return !unreadable_ && state_.policy(); }

  const StateDecoder& decoder_;
  GatewayState& state_;
  // The newest configuration cannot be read, so that the one in force is old.
  bool unreadable_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_CONFIG_OBSERVER_H_
