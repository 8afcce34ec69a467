#include "usage_lines.h"

#include <chrono>

#include "provider/usage_rows.h"
#include "provider/usage_window_settings.h"

namespace bamboomount {
namespace {

struct WindowUsage {
  CustomerUsage customers;
  UsageWindowState state = UsageWindowState::kOpen;
};

Result<WindowUsage> ParseSealedUsage(const std::string& text) {
  const auto sealed = SealedUsage::Parse(text);
  if (!sealed)
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 "a sealed usage row is damaged",
                 {}};
  return WindowUsage{sealed->customers, UsageWindowState::kSealed};
}

Result<WindowUsage> ReadWindowUsage(TableStore& table,
                                    UsageWindow window,
                                    Millis timeout) {
  BOOST_OUTCOME_TRY(sealed, table.Read(UsageSealedKey(window), timeout));
  if (sealed)
    return ParseSealedUsage(sealed->value);
  BOOST_OUTCOME_TRY(closed, table.Read(UsageClosedKey(window), timeout));
  BOOST_OUTCOME_TRY(rows, table.Scan(UsageRowPrefix(window), timeout));
  SealedUsage total;
  for (const Row& row : rows) {
    const auto usage = UsageRow::Parse(row.value);
    if (usage)
      total.Add(*usage);
  }
  return WindowUsage{total.customers, closed ? UsageWindowState::kClosed
                                             : UsageWindowState::kOpen};
}

}  // namespace

Result<std::vector<UsageLine>> ReadUsage(TableStore& table,
                                         int windows,
                                         Millis timeout) {
  const UsageWindow now =
      UsageWindowSettings().WindowAt(std::chrono::system_clock::now());
  std::vector<UsageLine> lines;
  for (int windows_ago = windows - 1; windows_ago >= 0; --windows_ago) {
    const UsageWindow window(now.value() - windows_ago);
    BOOST_OUTCOME_TRY(usage, ReadWindowUsage(table, window, timeout));
    for (const auto& [customer, totals] : usage.customers)
      lines.push_back({window, customer, totals.requests, totals.prompt_tokens,
                       totals.output_tokens, usage.state});
  }
  return lines;
}

}  // namespace bamboomount
