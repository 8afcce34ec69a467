#ifndef CONTROLLER_INTERNAL_LEASE_ROW_H_
#define CONTROLLER_INTERNAL_LEASE_ROW_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/base.h"

namespace bamboomount::internal {

inline constexpr char kLeaseKey[] = "lease/controller";

// The value of the lease row.
struct LeaseRow {
  InstanceId holder;
  // Random for each take; tells a holder's own writes from those of an
  // earlier process of the same instance.
  std::string nonce;
  FencingToken token;
  // Number of the renewal attempt that wrote the row; 0 for the take.
  std::int64_t renewal = 0;
  // The holder has stopped acting.
  bool released = false;

  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<LeaseRow> Parse(const std::string& text);
};

}  // namespace bamboomount::internal

#endif  // CONTROLLER_INTERNAL_LEASE_ROW_H_
