#include "gateway/control/coordinator.h"

#include <algorithm>
#include <utility>

#include "gateway/control/table_names.h"
#include "gateway/events.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr std::string_view kMemberPrefix(tables::kMemberPrefix);

}  // namespace

Coordinator::Coordinator(asio::io_context& context,
                         AsyncTableStore& store,
                         GatewayState& state,
                         DutyRunner& duties,
                         Incarnation incarnation)
    : store_(store),
      state_(state),
      duties_(duties),
      incarnation_(std::move(incarnation)),
      lease_(state.settings().instance,
             incarnation_,
             state.settings().lease_duration),
      follower_(context,
                store,
                {tables::kInstances, Millis(0), kWatchInterval},
                *this),
      timer_(context) {}

void Coordinator::Start() {
  follower_.Start();
  Heartbeat();
}

void Coordinator::AnnounceLeaving() {
  leaving_ = true;
  Heartbeat();
}

void Coordinator::Stop() {
  stopped_ = true;
  follower_.Stop();
  timer_.cancel();
}

void Coordinator::OnTable(const std::vector<TableRow>& rows,
                          const StoreMoment& moment) {
  std::vector<std::string> keys;
  keys.reserve(rows.size());
  for (const TableRow& row : rows)
    keys.push_back(row.key);
  state_.members().Keep(keys);
  if (std::find(keys.begin(), keys.end(), tables::kLeaseKey) == keys.end())
    lease_.Observe(std::nullopt, RowVersion(), BootClock::now());
  lease_seen_ = true;
  OnChanges(rows, moment);
}

void Coordinator::OnChanges(const std::vector<TableRow>& rows,
                            const StoreMoment& moment) {
  const Instant now = BootClock::now();
  state_.freshness().NoteStoreTime(moment.sent, moment.store_time);
  state_.members().NoteStoreTime(moment.store_time);
  for (const TableRow& row : rows)
    ApplyRow(row, now);
  follower_.SetPause(ReadPause(now));
}

void Coordinator::ApplyRow(const TableRow& row, Instant now) {
  if (row.key == tables::kLeaseKey) {
    if (row.deleted) {
      lease_.Observe(std::nullopt, RowVersion(), now);
      return;
    }
    const auto lease = DecodeLeaseRow(row.value);
    if (lease) {
      holder_ = lease.value().holder;
      lease_.Observe(lease.value(), row.version, now);
    } else {
      Log(gateway_events::kMemberUnreadable,
          {{"row", row.key}, {"cause", lease.error().message}});
    }
    return;
  }
  if (!row.key.starts_with(kMemberPrefix))
    return;
  if (row.deleted) {
    state_.members().Remove(row.key);
    return;
  }
  auto member = DecodeMember(row.value);
  if (!member) {
    Log(gateway_events::kMemberUnreadable,
        {{"row", row.key}, {"cause", member.error().message}});
    return;
  }
  state_.members().Update(row.key, std::move(member.value()), now);
}

void Coordinator::Heartbeat() {
  if (commit_open_) {
    ScheduleHeartbeat();
    return;
  }
  const Instant now = BootClock::now();
  StoreChange change;
  change.Put(tables::kInstances, RowKey(), EncodeMember(DescribeSelf(now)));
  std::optional<DutyLease::Claim> claim;
  const bool has_duties =
      state_.settings().reports_usage || state_.settings().orders_backends;
  // A leaving instance lets its lease run out.
  if (lease_seen_ && has_duties && !leaving_)
    claim = lease_.NextClaim(now);
  if (claim) {
    change.Expect(tables::kInstances, tables::kLeaseKey, claim->expected);
    change.Put(tables::kInstances, tables::kLeaseKey,
               EncodeLeaseRow(claim->row));
    for (const std::string& key : state_.members().OutdatedRows())
      change.Remove(tables::kInstances, key);
  }
  commit_open_ = true;
  store_.Commit(change, [this, claim, now](Result<CommitAnswer> answer) {
    commit_open_ = false;
    if (!stopped_)
      OnCommitted(claim, now, std::move(answer));
  });
  ScheduleHeartbeat();
}

void Coordinator::ScheduleHeartbeat() {
  timer_.expires_after(Interval());
  timer_.async_wait([this](const error_code& error) {
    if (!error && !stopped_)
      Heartbeat();
  });
}

void Coordinator::OnCommitted(const std::optional<DutyLease::Claim>& claim,
                              Instant sent,
                              Result<CommitAnswer> answer) {
  const Instant now = BootClock::now();
  if (answer) {
    const StoreMoment& moment = answer.value().moment;
    state_.freshness().NoteStoreTime(moment.sent, moment.store_time);
    state_.backends().NoteStoreBack(now);
  } else {
    // Backend servers that cannot renew their rows lapse meanwhile.
    state_.backends().NoteStoreAway();
  }
  if (claim) {
    if (!answer && answer.error().verdict == RunVerdict::kMayHaveRun)
      lease_.OnUnknown(*claim, sent);
    else if (answer && answer.value().committed)
      lease_.OnCommitted(*claim, answer.value().moment.position, sent);
    else if (answer)
      lease_.OnConflict(*claim);
  }
  const bool holds = lease_.HoldsFor(Millis(0), now);
  if (holds != held_) {
    held_ = holds;
    Log(holds ? gateway_events::kLeaseTaken : gateway_events::kLeaseLost,
        {{"token", std::to_string(lease_.token().value())}});
    if (holds)
      duties_.Begin();
  }
  if (holds)
    duties_.Step(lease_, now);
}

Member Coordinator::DescribeSelf(Instant now) const {
  const InstanceSettings& settings = state_.settings();
  Member member;
  member.instance = settings.instance;
  member.incarnation = incarnation_;
  member.caller_address = settings.caller_address;
  member.peer_address = settings.peer_address;
  member.zone = settings.zone;
  member.region = settings.region;
  member.capacity = settings.capacity;
  member.leaving = leaving_ || !state_.IsReady();
  member.store_time = state_.freshness().StoreTimeAt(now).value_or(Millis(0));
  const Millis wall = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  member.wall_offset = wall - member.store_time;
  member.usage = state_.usage().windows();
  return member;
}

Millis Coordinator::Interval() const {
  if (held_)
    return kHolderInterval;
  return std::clamp(kIntervalPerMember * state_.members().AliveCount(),
                    kMinInterval, kMaxInterval);
}

Millis Coordinator::ReadPause(Instant now) const {
  const bool holder_is_heard =
      holder_ && state_.members().WasHeard(*holder_, now);
  return holder_is_heard ? kReadInterval : kWatchInterval;
}

void Coordinator::ReadMembersSoon() {
  const Instant now = BootClock::now();
  if (now - last_soon_ < kWatchInterval)
    return;
  last_soon_ = now;
  follower_.EndPause();
}

std::string Coordinator::RowKey() const {
  return tables::kMemberPrefix + state_.settings().instance.value() + "/" +
         incarnation_.value();
}

}  // namespace bamboomount
