#ifndef PROVIDER_USAGE_ROWS_H_
#define PROVIDER_USAGE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "provider/usage_reports.h"
#include "provider/usage_totals.h"

namespace bamboomount {

// Keys of the rows of a usage window. Windows are padded with zeros, so that
// key order is time order.
std::string UsageRowPrefix(UsageWindow window);
std::string UsageRowKey(UsageWindow window, const std::string& writer);
std::string UsageClosedKey(UsageWindow window);
std::string UsageSealedKey(UsageWindow window);

// What one router counted in one window.
struct UsageRow {
  CustomerUsage customers;
  // The part of `customers` that was used in earlier windows, in total.
  UsageTotals late;
  // The window had ended when the row was written.
  bool final = false;

  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<UsageRow> Parse(const std::string& text);
};

// The sum over all routers that the platform is told.
struct SealedUsage {
  CustomerUsage customers;
  UsageTotals late;
  std::int64_t writers = 0;
  // Writers whose row is not final: what they counted last is missing.
  std::int64_t unfinished_writers = 0;

  void Add(const UsageRow& row);
  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<SealedUsage> Parse(const std::string& text);
};

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_ROWS_H_
