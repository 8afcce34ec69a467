#ifndef GATEWAY_CONTROL_CONFIG_OBSERVER_H_
#define GATEWAY_CONTROL_CONFIG_OBSERVER_H_

#include <optional>
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
  void OnStoreRestored(Millis store_time) override;

 private:
  GatewayState& state() { return dispatcher_.state(); }
  // Whether a response of the store shows that the applied configuration is the
  // newest.
  bool IsConfirmable();
  // Whether the operator may not have written again yet what a restore of the
  // store has lost.
  bool MayLackRows() const;
  void ApplyConfig(const std::vector<TableRow>& rows);
  // Applies the evacuation rows among `rows` to the listed zones.
  void UpdateEvacuations(const std::vector<TableRow>& rows);
  // Sets the zones that are evacuated.
  void ApplyEvacuations();

  const StateDecoder& decoder_;
  Dispatcher& dispatcher_;
  // The newest configuration cannot be decoded, so the applied one is out of
  // date.
  bool unreadable_ = false;
  // The end of that time, after a restore of the store.
  std::optional<Instant> lacks_rows_until_;
  // The operator has written the configuration since that restore.
  bool config_is_rewritten_ = false;
  // Zones that are evacuated according to the table.
  std::set<ZoneId> listed_evacuations_;
  // Zones that were evacuated before a restore of the store.
  std::set<ZoneId> evacuations_before_restore_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_CONFIG_OBSERVER_H_
