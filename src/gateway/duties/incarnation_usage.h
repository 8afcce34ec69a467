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
  // Raises the counts, and the windows through which they are final, to those
  // in `other` where these are larger. Neither ever decreases for an
  // incarnation, so the larger value is the more recent one. `other` may lack
  // windows.
  void MergeMaximum(const UsageByIncarnation& other);
  // Drops the entries that OutdatedKeys returns for `window`.
  void DropOutdated(WindowNumber window);
  // Total usage in `window` by customer.
  UsageCounts Sum(WindowNumber window) const;
  // Whether the final counts for `window` of an instance in `live_instances`
  // are missing. An instance without an entry has not served any customer and
  // is not waited for.
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
