#ifndef GATEWAY_DUTIES_INCARNATION_USAGE_H_
#define GATEWAY_DUTIES_INCARNATION_USAGE_H_

#include <map>
#include <string>

#include "gateway/duties/usage_ledger.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// Requests started by one incarnation of an instance, as stored in its row.
struct IncarnationUsage {
  InstanceId instance;
  // Every window up to and including this one has ended and its counts are
  // final.
  WindowNumber complete_through;
  std::map<WindowNumber, UsageCounts> windows;
};

// JSON encoding for the row. DecodeIncarnationUsage fails with kInternal.
std::string EncodeIncarnationUsage(const IncarnationUsage& usage);
Result<IncarnationUsage> DecodeIncarnationUsage(const std::string& text);

// Usage of all incarnations of all instances. The key is the incarnation, which
// is also the key of the row in the store. Not thread-safe.
class UsageByIncarnation {
 public:
  void Put(const std::string& key, IncarnationUsage usage);
  // Raises the counts to those in `other` where these are larger. The counts of
  // an incarnation never decrease, so the larger one is the more recent one.
  // `other` may lack windows; merging it never marks a window as complete.
  void MergeMaximum(const UsageByIncarnation& other);
  // Drops the entries that OutdatedKeys returns for `window`.
  void DropOutdated(WindowNumber window);
  // Total usage in `window` by customer.
  UsageCounts Sum(WindowNumber window) const;
  // Whether an instance in `live_instances` has not yet stored its final counts
  // for `window`. An instance without a row has not served any customer and is
  // not waited for.
  bool IsIncomplete(WindowNumber window,
                    const std::vector<InstanceId>& live_instances) const;
  // Keys of entries that have no counts for windows after `window` and are not
  // complete beyond it.
  std::vector<std::string> OutdatedKeys(WindowNumber window) const;

 private:
  std::map<std::string, IncarnationUsage> usage_by_key_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_INCARNATION_USAGE_H_
