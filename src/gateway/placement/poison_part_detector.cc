#include "gateway/placement/poison_part_detector.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Bounds the memory for parts that callers choose. Served parts leave room for
// those of crashes.
constexpr std::size_t kMaxServedRecords = 8192;
constexpr std::size_t kMaxRecords = 2 * kMaxServedRecords;
// Only the latest crashes of a part are kept.
constexpr std::size_t kMaxCrashes = 5;
// Reports of one crash by several instances differ by the time that messages
// take. An engine needs longer than this to start again.
constexpr Millis kSameCrashPeriod{1500};
// How long other instances are told that a suspected part is sound.
constexpr Millis kContradictionPeriod{3000};

// Calls `visit` with the id of each part but the last.
template <typename Visit>
void ForEachSharedPart(const PromptShape& prompt, Visit visit) {
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    visit(prompt.parts[i].id);
}

}  // namespace

PoisonPartDetector::Record* PoisonPartDetector::FindOrAdd(
    PromptPartId part,
    std::size_t max_records) {
  const auto record = records_.find(part);
  if (record != records_.end())
    return &record->second;
  return records_.size() < max_records ? &records_[part] : nullptr;
}

void PoisonPartDetector::RecordServed(const PromptShape& prompt, Instant now) {
  ForEachSharedPart(prompt, [this, now](PromptPartId part) {
    if (Record* record = FindOrAdd(part, kMaxServedRecords))
      MarkServed(*record, now);
  });
}

void PoisonPartDetector::RecordCrash(const PromptShape& prompt,
                                     const BackendId& server,
                                     Instant now) {
  ForEachSharedPart(prompt, [&](PromptPartId part) {
    Record* record = FindOrAdd(part, kMaxRecords);
    if (record && !IsContradicted(*record, now))
      AddCrash(*record, {server, now});
  });
}

void PoisonPartDetector::Merge(const std::vector<PartEvidence>& evidence,
                               Instant now) {
  for (const PartEvidence& part : evidence) {
    Record* record = FindOrAdd(part.part, kMaxRecords);
    if (!record)
      continue;
    if (part.served_age)
      MarkServed(*record, now - *part.served_age);
    for (const PartEvidence::Crash& crash : part.crashes) {
      const Instant at = now - crash.age;
      if (IsContradicted(*record, at))
        record->contradicted_at = now;
      else
        AddCrash(*record, {crash.server, at});
    }
  }
}

void PoisonPartDetector::MarkServed(Record& record, Instant served_at) {
  if (record.served_at && *record.served_at >= served_at)
    return;
  record.served_at = served_at;
  const std::size_t cleared =
      std::erase_if(record.crashes, [&record](const Crash& crash) {
        return IsContradicted(record, crash.at);
      });
  if (cleared > 0)
    record.contradicted_at = served_at;
  if (record.poisonous && !DecisiveCrash(record))
    record.poisonous = false;
}

bool PoisonPartDetector::IsContradicted(const Record& record,
                                        Instant crashed_at) {
  return record.served_at && crashed_at <= *record.served_at + kServedPeriod;
}

void PoisonPartDetector::AddCrash(Record& record, const Crash& crash) {
  for (Crash& known : record.crashes) {
    const auto difference =
        known.at > crash.at ? known.at - crash.at : crash.at - known.at;
    if (known.server != crash.server || difference > kSameCrashPeriod)
      continue;
    known.at = std::min(known.at, crash.at);
    return;
  }
  const auto position = std::upper_bound(
      record.crashes.begin(), record.crashes.end(), crash.at,
      [](Instant at, const Crash& other) { return at < other.at; });
  record.crashes.insert(position, crash);
  if (record.crashes.size() > kMaxCrashes)
    record.crashes.erase(record.crashes.begin());
}

std::optional<Instant> PoisonPartDetector::DecisiveCrash(const Record& record) {
  int count = 0;
  std::optional<Instant> last;
  for (const Crash& crash : record.crashes) {
    if (last && crash.at - *last < kMinCrashGap)
      continue;
    last = crash.at;
    if (++count == kMinCrashes)
      return last;
  }
  return std::nullopt;
}

std::vector<PoisonPart> PoisonPartDetector::Update(Instant now) {
  std::vector<PoisonPart> found;
  for (auto item = records_.begin(); item != records_.end();) {
    auto& [part, record] = *item;
    ForgetOldCrashes(record, now);
    if (IsObsolete(record, now)) {
      item = records_.erase(item);
      continue;
    }
    ++item;
    const auto decisive = DecisiveCrash(record);
    if (record.poisonous || !decisive || now - *decisive < kVerdictDelay)
      continue;
    record.poisonous = true;
    found.push_back({part, {}});
    for (const Crash& crash : record.crashes)
      found.back().crashed_servers.push_back(crash.server);
  }
  return found;
}

void PoisonPartDetector::ForgetOldCrashes(Record& record, Instant now) {
  if (record.crashes.empty())
    return;
  // The crashes of a poisonous part are forgotten together, because no further
  // request with it reaches an engine.
  if (record.poisonous || DecisiveCrash(record)) {
    if (now - record.crashes.back().at < kPoisonPeriod)
      return;
    record.crashes.clear();
    record.poisonous = false;
    return;
  }
  std::erase_if(record.crashes, [now](const Crash& crash) {
    return now - crash.at >= kSuspicionPeriod;
  });
}

bool PoisonPartDetector::IsObsolete(const Record& record, Instant now) {
  return record.crashes.empty() &&
         (!record.served_at || now - *record.served_at >= kServedPeriod) &&
         !IsNews(record, now);
}

bool PoisonPartDetector::IsNews(const Record& record, Instant now) {
  return !record.crashes.empty() ||
         (record.contradicted_at &&
          now - *record.contradicted_at < kContradictionPeriod);
}

std::optional<Instant> PoisonPartDetector::PoisonousUntil(
    const PromptShape& prompt) const {
  std::optional<Instant> until;
  ForEachSharedPart(prompt, [this, &until](PromptPartId part) {
    const auto record = records_.find(part);
    if (!until && record != records_.end() && record->second.poisonous)
      until = record->second.crashes.back().at + kPoisonPeriod;
  });
  return until;
}

std::pair<std::size_t, Instant> PoisonPartDetector::EvidenceRank(
    const Record& record) {
  if (record.crashes.empty())
    return {kMinCrashes, record.contradicted_at.value_or(Instant())};
  return {record.crashes.size(), record.crashes.back().at};
}

std::vector<PartEvidence> PoisonPartDetector::Evidence(Instant now) const {
  std::vector<std::pair<PromptPartId, const Record*>> news;
  for (const auto& [part, record] : records_) {
    if (IsNews(record, now))
      news.emplace_back(part, &record);
  }
  const std::size_t count = std::min(news.size(), kMaxEvidence);
  std::partial_sort(news.begin(),
                    news.begin() + static_cast<std::ptrdiff_t>(count),
                    news.end(), [](const auto& a, const auto& b) {
                      return EvidenceRank(*a.second) > EvidenceRank(*b.second);
                    });
  news.resize(count);
  std::vector<PartEvidence> evidence;
  evidence.reserve(count);
  for (const auto& [part, record] : news) {
    evidence.push_back({part, {}, std::nullopt});
    for (const Crash& crash : record->crashes)
      evidence.back().crashes.push_back(
          {crash.server, ToMillis(now - crash.at)});
    if (record->served_at)
      evidence.back().served_age = ToMillis(now - *record->served_at);
  }
  return evidence;
}

}  // namespace bamboomount
