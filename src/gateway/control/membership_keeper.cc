#include "gateway/control/membership_keeper.h"

#include <utility>

#include "gateway/control/table_names.h"

namespace bamboomount {
namespace {

// Rows that are dropped in one step; each takes a call.
constexpr std::size_t kMaxDropped = 4;

}  // namespace

MembershipKeeper::MembershipKeeper(asio::io_context& context,
                                   AsyncTableStore& store,
                                   GatewayState& state,
                                   Incarnation incarnation)
    : store_(store),
      state_(state),
      incarnation_(std::move(incarnation)),
      timer_(context) {}

void MembershipKeeper::Start() {
  Check();
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void MembershipKeeper::AnnounceLeaving() {
  leaving_ = true;
  written_.reset();
  Check();
}

void MembershipKeeper::Check() {
  // An instance that cannot serve yet need not be known.
  if (commit_open_ || (!state_.IsReady() && !leaving_))
    return;
  const Instant now = BootClock::now();
  if (written_ && now - *written_ < kSettleTime)
    return;
  const Member self = DescribeSelf();
  const Member* listed = state_.members().Find(self.instance);
  if (listed && *listed == self)
    return;
  Write(self);
}

void MembershipKeeper::Write(const Member& member) {
  StoreChange change;
  change.Put(tables::kInstances, member.instance.value(), EncodeMember(member));
  commit_open_ = true;
  store_.Commit(change, [this, leaving = member.leaving](
                            const Result<CommitAnswer>& answer) {
    commit_open_ = false;
    state_.RecordCommitResult(answer);
    if (answer)
      written_ = BootClock::now();
    // The stop began while an older row was written.
    if (leaving != leaving_)
      AnnounceLeaving();
  });
}

void MembershipKeeper::DropFailed() {
  const auto failed = state_.members().FailedRows(BootClock::now());
  std::size_t dropped = 0;
  for (const MemberRegistry::Row& row : failed) {
    if (++dropped > kMaxDropped)
      return;
    const std::string& key = row.instance.value();
    StoreChange change;
    // An instance that came back has written its row anew.
    change.Expect(tables::kInstances, key, row.version)
        .Remove(tables::kInstances, key);
    store_.Commit(change, [this](const Result<CommitAnswer>& answer) {
      state_.RecordCommitResult(answer);
    });
  }
}

Member MembershipKeeper::DescribeSelf() const {
  const InstanceSettings& settings = state_.settings();
  Member member;
  member.instance = settings.instance;
  member.incarnation = incarnation_;
  member.caller_address = settings.caller_address;
  member.peer_address = settings.peer_address;
  member.zone = settings.zone;
  member.region = settings.region;
  member.capacity = settings.capacity;
  member.leaving = leaving_;
  return member;
}

}  // namespace bamboomount
