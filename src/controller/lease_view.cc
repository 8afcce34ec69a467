#include "controller/lease_view.h"

#include "controller/internal/lease_row.h"

namespace bamboomount {

Result<std::optional<LeaseView>> ReadLease(TableStore& store, Millis timeout) {
  BOOST_OUTCOME_TRY(row, store.Read(internal::kLeaseKey, timeout));
  if (!row)
    return std::optional<LeaseView>();
  const auto lease = internal::LeaseRow::Parse(row->value);
  if (!lease || lease->released)
    return std::optional<LeaseView>();
  return std::optional<LeaseView>({lease->holder, lease->token});
}

}  // namespace bamboomount
