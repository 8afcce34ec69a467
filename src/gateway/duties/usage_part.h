#ifndef GATEWAY_DUTIES_USAGE_PART_H_
#define GATEWAY_DUTIES_USAGE_PART_H_

#include <map>
#include <string>

#include "gateway/duties/usage_ledger.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// What began to run at the word of one incarnation, as its row in the store
// shows it.
struct UsagePart {
  InstanceId instance;
  // All windows up to this one have ended and are complete.
  WindowNumber complete_through;
  std::map<WindowNumber, UsageCounts> windows;
};

// Text form for the row. Decoding fails with kInternal.
std::string EncodeUsagePart(const UsagePart& part);
Result<UsagePart> DecodeUsagePart(const std::string& text);

// The parts of all incarnations, by incarnation, which is the key of their
// rows.
class UsageParts {
 public:
  void Put(const std::string& key, UsagePart part);
  // Adds figures that `told` knows beyond these parts. Those of an incarnation
  // only grow, so that the larger one is the newer one. What was told need not
  // be all: no window counts as complete by it.
  void Raise(const UsageParts& told);
  // Forgets parts that tell nothing about windows after `window`.
  void DropThrough(WindowNumber window);
  // Usage of `window` over all incarnations.
  UsageCounts Sum(WindowNumber window) const;
  // Whether an instance in `alive` has yet to write its last figures of
  // `window`. One that served nobody writes nothing and is not waited for.
  bool IsAwaited(WindowNumber window,
                 const std::vector<InstanceId>& alive) const;
  // Keys of rows that tell nothing about windows after `window`.
  std::vector<std::string> Outdated(WindowNumber window) const;

 private:
  std::map<std::string, UsagePart> parts_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_PART_H_
