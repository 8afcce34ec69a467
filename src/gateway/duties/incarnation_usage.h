#ifndef GATEWAY_DUTIES_INCARNATION_USAGE_H_
#define GATEWAY_DUTIES_INCARNATION_USAGE_H_

#include <map>
#include <string>

#include "gateway/duties/usage_ledger.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// What began to run at the word of one incarnation, as its row in the store
// shows it.
struct IncarnationUsage {
  InstanceId instance;
  // All windows up to this one have ended and are complete.
  WindowNumber complete_through;
  std::map<WindowNumber, UsageCounts> windows;
};

// Text form for the row. Decoding fails with kInternal.
std::string EncodeIncarnationUsage(const IncarnationUsage& usage);
Result<IncarnationUsage> DecodeIncarnationUsage(const std::string& text);

// The parts of all incarnations, by incarnation, which is the key of their
// rows.
class UsageByIncarnation {
 public:
  void Put(const std::string& key, IncarnationUsage usage);
  // Adds figures that `other` knows beyond these parts. Those of an incarnation
  // only grow, so that the larger one is the newer one. What was other need not
  // be all: no window counts as complete by it.
  void MergeMaximum(const UsageByIncarnation& other);
  // Forgets parts that tell nothing about windows after `window`.
  void DropOutdated(WindowNumber window);
  // Usage of `window` over all incarnations.
  UsageCounts Sum(WindowNumber window) const;
  // Whether an instance in `alive` has yet to write its last figures of
  // `window`. One that served nobody writes nothing and is not waited for.
  bool IsIncomplete(WindowNumber window,
                    const std::vector<InstanceId>& alive) const;
  // Keys of rows that tell nothing about windows after `window`.
  std::vector<std::string> OutdatedKeys(WindowNumber window) const;

 private:
  std::map<std::string, IncarnationUsage> usage_by_key_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_INCARNATION_USAGE_H_
