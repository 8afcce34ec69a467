#include "gateway/control/usage_writer.h"

#include <random>
#include <utility>

#include "gateway/control/table_names.h"

namespace bamboomount {

UsageWriter::UsageWriter(asio::io_context& context,
                         AsyncTableStore& store,
                         GatewayState& state,
                         Incarnation incarnation)
    : store_(store),
      state_(state),
      incarnation_(std::move(incarnation)),
      schedule_(state.settings().peer_address.empty()
                    ? Millis(0)
                    : UsageWriteSchedule::kReceiptTimeout,
                std::random_device{}()),
      timer_(context) {}

void UsageWriter::Start() {
  WriteIfDue();
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void UsageWriter::WriteIfDue() {
  if (!state_.settings().reports_usage || write_in_flight_)
    return;
  const Instant now = BootClock::now();
  const UsageWriteSchedule::Conditions conditions{
      state_.LastEndedWindow(now), state_.usage_delivery().delivered_through(),
      state_.members().Count()};
  if (schedule_.IsDue(state_.usage(), conditions, now))
    Write();
}

void UsageWriter::Flush(std::function<void()> done) {
  on_flushed_ = std::move(done);
  if (!write_in_flight_)
    ContinueFlush(false);
}

void UsageWriter::ContinueFlush(bool write_failed) {
  if (!on_flushed_)
    return;
  const bool has_unwritten =
      state_.settings().reports_usage &&
      state_.usage().revision() != schedule_.written_revision();
  if (has_unwritten && !write_failed)
    Write();
  else
    std::exchange(on_flushed_, nullptr)();
}

void UsageWriter::Write() {
  const Instant now = BootClock::now();
  const IncarnationUsage usage_row = state_.LocalUsage(now);
  StoreTransaction transaction;
  transaction.Put(tables::kIncarnationUsage, incarnation_.value(),
                  EncodeIncarnationUsage(usage_row));
  write_in_flight_ = true;
  schedule_.OnWriteStarted(now);
  store_.Commit(transaction, [this, revision = state_.usage().revision(),
                              through = usage_row.complete_through](
                                 const Result<CommitResponse>& response) {
    write_in_flight_ = false;
    state_.RecordCommitResult(response);
    if (response)
      schedule_.OnWritten(revision, through);
    else
      schedule_.OnWriteFailed();
    ContinueFlush(!response);
  });
}

}  // namespace bamboomount
