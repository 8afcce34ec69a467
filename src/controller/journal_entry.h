#ifndef CONTROLLER_JOURNAL_ENTRY_H_
#define CONTROLLER_JOURNAL_ENTRY_H_

#include <optional>
#include <string>

#include "provider/provider.h"

namespace bamboomount {

enum class OrderState {
  // Written before the order is sent. The platform may or may not have received
  // it.
  kRecorded,
  // The platform has received it.
  kAccepted,
  // Not executed: the order was not sent, or the platform refused it or could
  // not be reached.
  kRefused,
  // The platform had not received it when the resolve timeout expired.
  kAbandoned,
};

// Value of a row with key "order/<id>".
struct JournalEntry {
  BackendOrder order;
  OrderState state = OrderState::kRecorded;

  std::string ToText() const;
  // Empty if `text` is malformed.
  static std::optional<JournalEntry> Parse(const std::string& text);
};

}  // namespace bamboomount

#endif  // CONTROLLER_JOURNAL_ENTRY_H_
