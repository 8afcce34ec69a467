#ifndef CONTROLLER_INTERNAL_LEASE_ROW_H_
#define CONTROLLER_INTERNAL_LEASE_ROW_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/base.h"

namespace bamboomount::internal {

inline constexpr char kLeaseKey[] = "lease/controller";

// Value of the lease row.
struct LeaseRow {
  InstanceId holder;
  // Random value of each acquisition. It distinguishes the writes of a holder
  // from those of an earlier process of the same instance.
  std::string nonce;
  FencingToken token;
  // Number of the renewal attempt that wrote the row; 0 for the acquisition.
  std::int64_t renewal = 0;
  // The holder has given up the lease, so it can be acquired without waiting in
  // the era of the row.
  bool released = false;
  // Era of the store for which the row was written.
  StoreEra era;

  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<LeaseRow> Parse(const std::string& text);
};

}  // namespace bamboomount::internal

#endif  // CONTROLLER_INTERNAL_LEASE_ROW_H_
