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
  Check();
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void UsageWriter::Check() {
  if (!state_.settings().reports_usage || open_)
    return;
  const Instant now = BootClock::now();
  const WindowNumber ended = state_.LastEndedWindow(now);
  if (ended != seen_end_) {
    seen_end_ = ended;
    std::uniform_int_distribution<Millis::rep> spread(0, kSpread.count());
    due_ = now + Millis(spread(random_));
  }
  if (IsDue(ended, now))
    Write(nullptr);
}

bool UsageWriter::IsDue(WindowNumber ended, Instant now) const {
  const UsageLedger& usage = state_.usage();
  if (usage.windows().empty() || now - last_write_ < kMinPause)
    return false;
  const bool changed = usage.revision() != written_revision_;
  const bool ends = written_through_ < ended &&
                    usage.windows().rbegin()->first > written_through_;
  if (ends)
    return now >= due_;
  return changed && state_.members().Count() <= kMidWindowMembers &&
         now - last_write_ >= kMidWindowInterval;
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
  const UsagePart part = state_.LocalUsage(now);
  StoreChange change;
  change.Put(tables::kUsageParts, incarnation_.value(), EncodeUsagePart(part));
  open_ = true;
  last_write_ = now;
  store_.Commit(change,
                [this, revision = state_.usage().revision(),
                 through = part.complete_through,
                 done = std::move(done)](const Result<CommitAnswer>& answer) {
                  open_ = false;
                  state_.RecordCommitResult(answer);
                  if (answer) {
                    written_revision_ = revision;
                    written_through_ = through;
                  }
                  if (done)
                    done();
                });
}

}  // namespace bamboomount
