#ifndef GATEWAY_CONTROL_MEMBER_OBSERVER_H_
#define GATEWAY_CONTROL_MEMBER_OBSERVER_H_

#include <vector>

#include "gateway/membership/member_registry.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Keeps the registry of instances in line with the store.
class MemberObserver : public TableObserver {
 public:
  explicit MemberObserver(MemberRegistry& members) : members_(members) {}

  void OnSnapshot(const std::vector<TableRow>& rows) override;
  void OnChanges(const std::vector<TableRow>& rows) override;
  void OnStoreRestored(Millis store_time) override;

 private:
  MemberRegistry& members_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_MEMBER_OBSERVER_H_
