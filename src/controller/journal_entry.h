#ifndef CONTROLLER_JOURNAL_ENTRY_H_
#define CONTROLLER_JOURNAL_ENTRY_H_

#include <optional>
#include <string>

#include "provider/provider.h"

namespace bamboomount {

enum class OrderState {
  // Written before the order is sent; the platform may or may not have it.
  kRecorded,
  // The platform has it.
  kAccepted,
  // Not run: the platform refused it or was not reached.
  kRefused,
  // The platform did not know it when the holder asked.
  kAbandoned,
};

// The value of a row order/<id>.
struct JournalEntry {
  BackendOrder order;
  OrderState state = OrderState::kRecorded;

  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<JournalEntry> Parse(const std::string& text);
};

}  // namespace bamboomount

#endif  // CONTROLLER_JOURNAL_ENTRY_H_
