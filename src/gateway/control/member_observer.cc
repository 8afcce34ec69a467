#include "gateway/control/member_observer.h"

#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {

void MemberObserver::OnSnapshot(const std::vector<TableRow>& rows) {
  std::vector<InstanceId> listed;
  listed.reserve(rows.size());
  for (const TableRow& row : rows)
    listed.emplace_back(row.key);
  members_.RetainOnly(listed, BootClock::now());
  OnChanges(rows);
}

void MemberObserver::OnStoreRestored(Millis /*store_time*/) {
  members_.OnStoreRestored(BootClock::now());
}

void MemberObserver::OnChanges(const std::vector<TableRow>& rows) {
  const Instant now = BootClock::now();
  for (const TableRow& row : rows) {
    if (row.deleted) {
      Log(gateway_events::kMemberGone, {{"instance", row.key}});
      members_.Remove(InstanceId(row.key));
      continue;
    }
    const auto member = DecodeMember(row.value);
    if (!member) {
      Log(gateway_events::kMemberUnreadable,
          {{"row", row.key}, {"cause", member.error().message}});
      continue;
    }
    Log(gateway_events::kMemberListed,
        {{"instance", row.key},
         {"incarnation", member.value().incarnation.value()},
         {"leaving", member.value().leaving ? "yes" : "no"}});
    members_.Update(member.value(), row.version, now);
  }
}

}  // namespace bamboomount
