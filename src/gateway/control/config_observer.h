#ifndef GATEWAY_CONTROL_CONFIG_OBSERVER_H_
#define GATEWAY_CONTROL_CONFIG_OBSERVER_H_

#include <set>
#include <vector>

#include "gateway/control/state_decoder.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Applies the rows of the operator: new versions of the configuration, and the
// evacuation of availability zones.
class ConfigObserver : public TableObserver {
 public:
  ConfigObserver(const StateDecoder& decoder, Dispatcher& dispatcher)
      : decoder_(decoder), dispatcher_(dispatcher) {}

  void OnSnapshot(const std::vector<TableRow>& rows) override;
  void OnChanges(const std::vector<TableRow>& rows) override;
  void OnConfirmed(const StoreResponseInfo& info) override;
  void OnConfirmedByPeer(Millis store_time) override;

 private:
  GatewayState& state() { return dispatcher_.state(); }
  bool IsReadable() { return !unreadable_ && state().policy(); }
  void ApplyConfig(const std::vector<TableRow>& rows);
  // Applies the evacuation rows among `rows` to the zones in `zones`.
  void UpdateEvacuations(const std::vector<TableRow>& rows,
                         std::set<ZoneId> zones);

  const StateDecoder& decoder_;
  Dispatcher& dispatcher_;
  // The newest configuration cannot be decoded, so the applied one is out of
  // date.
  bool unreadable_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_CONFIG_OBSERVER_H_
