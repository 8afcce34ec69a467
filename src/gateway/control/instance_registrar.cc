#include "gateway/control/instance_registrar.h"

#include <utility>

#include "gateway/control/table_names.h"

namespace bamboomount {
namespace {

// Maximum number of rows removed in one step; each removal takes one call.
constexpr std::size_t kMaxRemovalsPerStep = 4;

}  // namespace

InstanceRegistrar::InstanceRegistrar(asio::io_context& context,
                                     AsyncTableStore& store,
                                     GatewayState& state,
                                     Incarnation incarnation)
    : store_(store),
      state_(state),
      incarnation_(std::move(incarnation)),
      timer_(context) {}

void InstanceRegistrar::Start() {
  WriteRowIfOutdated();
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void InstanceRegistrar::AnnounceLeaving() {
  leaving_ = true;
  last_written_at_.reset();
  WriteRowIfOutdated();
}

void InstanceRegistrar::WriteRowIfOutdated() {
  // Until an instance can serve, other instances need not know of it.
  if (commit_in_flight_ || (!state_.IsReady() && !leaving_))
    return;
  const Instant now = BootClock::now();
  if (last_written_at_ && now - *last_written_at_ < kPropagationTime)
    return;
  const Member self = DescribeSelf();
  const Member* listed = state_.members().Find(self.instance);
  if (listed && *listed == self && state_.members().IsListed(self.instance))
    return;
  WriteRow(self);
}

void InstanceRegistrar::WriteRow(const Member& member) {
  StoreTransaction transaction;
  transaction.Put(tables::kInstances, member.instance.value(),
                  EncodeMember(member));
  commit_in_flight_ = true;
  store_.Commit(transaction, [this, leaving = member.leaving](
                                 const Result<CommitResponse>& response) {
    commit_in_flight_ = false;
    state_.RecordCommitResult(response);
    if (response)
      last_written_at_ = BootClock::now();
    // The instance began to leave during the write of an older row.
    if (leaving != leaving_)
      AnnounceLeaving();
  });
}

void InstanceRegistrar::RemoveFailedInstances() {
  const auto failed = state_.members().RowsOfFailedMembers(BootClock::now());
  std::size_t removed = 0;
  for (const MemberRegistry::Row& row : failed) {
    if (++removed > kMaxRemovalsPerStep)
      return;
    const std::string& key = row.instance.value();
    StoreTransaction transaction;
    // A failed instance that has restarted has written a new version of its
    // row, which must stay.
    transaction.Expect(tables::kInstances, key, row.version)
        .Remove(tables::kInstances, key);
    store_.Commit(transaction, [this](const Result<CommitResponse>& response) {
      state_.RecordCommitResult(response);
    });
  }
}

Member InstanceRegistrar::DescribeSelf() const {
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
