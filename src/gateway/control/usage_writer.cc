#include "gateway/control/usage_writer.h"

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
      random_(std::random_device{}()),
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
  const WindowNumber ended = state_.LastEndedWindow(now);
  if (ended != last_ended_window_) {
    last_ended_window_ = ended;
    std::uniform_int_distribution<Millis::rep> spread(0, kWriteJitter.count());
    write_due_at_ = now + Millis(spread(random_));
  }
  if (IsDue(ended, now))
    Write(nullptr);
}

bool UsageWriter::IsDue(WindowNumber ended, Instant now) const {
  const UsageLedger& usage = state_.usage();
  if (usage.windows().empty() || now - last_write_at_ < kMinWriteInterval)
    return false;
  const bool changed = usage.revision() != written_revision_;
  const bool has_ended_window =
      written_through_ < ended &&
      usage.windows().rbegin()->first > written_through_;
  if (has_ended_window)
    return now >= write_due_at_;
  return changed && state_.members().Count() <= kMidWindowMaxInstances &&
         now - last_write_at_ >= kMidWindowWriteInterval;
}

void UsageWriter::Flush(std::function<void()> done) {
  if (!state_.settings().reports_usage ||
      state_.usage().revision() == written_revision_) {
    done();
    return;
  }
  Write(std::move(done));
}

void UsageWriter::Write(std::function<void()> done) {
  const Instant now = BootClock::now();
  const IncarnationUsage usage_row = state_.LocalUsage(now);
  StoreTransaction transaction;
  transaction.Put(tables::kIncarnationUsage, incarnation_.value(),
                  EncodeIncarnationUsage(usage_row));
  write_in_flight_ = true;
  last_write_at_ = now;
  store_.Commit(transaction,
                [this, revision = state_.usage().revision(),
                 through = usage_row.complete_through, done = std::move(done)](
                    const Result<CommitResponse>& response) {
                  write_in_flight_ = false;
                  state_.RecordCommitResult(response);
                  if (response) {
                    written_revision_ = revision;
                    written_through_ = through;
                  }
                  if (done)
                    done();
                });
}

}  // namespace bamboomount
