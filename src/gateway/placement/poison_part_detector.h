#ifndef GATEWAY_PLACEMENT_POISON_PART_DETECTOR_H_
#define GATEWAY_PLACEMENT_POISON_PART_DETECTOR_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/prompt_shape.h"

namespace bamboomount {

// What an instance knows of a part of prompts that was in requests at crashed
// engines.
struct PartEvidence {
  struct Crash {
    BackendId server;
    // Time since the crash.
    Millis age{0};
  };

  PromptPartId part;
  // Crashes that no served request contradicts, oldest first.
  std::vector<Crash> crashes;
  // Time since a request with the part was last served; empty if none was, as
  // far as is remembered.
  std::optional<Millis> served_age;
};

// A part that was found to crash engines.
struct PoisonPart {
  PromptPartId id;
  std::vector<BackendId> crashed_servers;
};

// Detects parts of prompts that crash every engine that generates an answer to
// them (poison messages), so that requests with such a part can be refused
// before they take down one engine after the other.
//
// A part is suspected if requests with it were at engines that crashed, one
// after the other, while no request with it was served. Parts that sound
// requests share with a poisoned one are cleared by the requests that are
// served. Engines that crash together, as in the failure of a rack, count once.
// One instance sees few of the crashes and of the served requests, so instances
// exchange their evidence by gossip and pass on what they receive.
//
// The last part of a prompt belongs to one request or session and is ignored.
// Not thread-safe.
class PoisonPartDetector {
 public:
  // Number of crashes, at least kMinCrashGap apart, that make a part suspect.
  static constexpr int kMinCrashes = 3;
  static constexpr Millis kMinCrashGap{100};
  // A request that was served within this time before a crash clears its parts
  // of the crash.
  static constexpr Millis kServedPeriod{10'000};
  // Delay between the last of kMinCrashes crashes and the verdict, in which
  // other instances can report that they served requests with the part.
  static constexpr Millis kVerdictDelay{800};
  // How long crashes that are too few for a verdict are remembered.
  static constexpr Millis kSuspicionPeriod{30'000};
  // How long after its last crash a part counts as poisonous.
  static constexpr Millis kPoisonPeriod{600'000};
  // Maximum number of parts in Evidence().
  static constexpr std::size_t kMaxEvidence = 16;

  // Handles a request that was served completely.
  void RecordServed(const PromptShape& prompt, Instant now);
  // Handles a request that was at the engine when it crashed, as far as the
  // lost connection shows.
  void RecordCrash(const PromptShape& prompt,
                   const BackendId& server,
                   Instant now);
  // Merges the evidence of another instance.
  void Merge(const std::vector<PartEvidence>& evidence, Instant now);
  // Reaches verdicts and forgets what is too old. Returns the parts that were
  // found poisonous since the last call.
  std::vector<PoisonPart> Update(Instant now);

  // When the first poisonous part of the prompt will no longer count as such;
  // empty if the prompt has none.
  std::optional<Instant> PoisonousUntil(const PromptShape& prompt) const;
  // Evidence for other instances: the parts with most crashes, and parts
  // suspected by others that this instance knows to be sound.
  std::vector<PartEvidence> Evidence(Instant now) const;

 private:
  struct Crash {
    BackendId server;
    Instant at;
  };

  struct Record {
    // In order of time.
    std::vector<Crash> crashes;
    std::optional<Instant> served_at;
    // When another instance last reported a crash that `served_at` contradicts.
    std::optional<Instant> contradicted_at;
    bool poisonous = false;
  };

  // The record of the part, or null if there is none and there are
  // `max_records` already.
  Record* FindOrAdd(PromptPartId part, std::size_t max_records);
  static void MarkServed(Record& record, Instant served_at);
  static bool IsContradicted(const Record& record, Instant crashed_at);
  static void AddCrash(Record& record, const Crash& crash);
  // When the last of kMinCrashes crashes that are kMinCrashGap apart happened;
  // empty if there were fewer.
  static std::optional<Instant> DecisiveCrash(const Record& record);
  static void ForgetOldCrashes(Record& record, Instant now);
  static bool IsObsolete(const Record& record, Instant now);
  // Whether the record says something that other instances may not know.
  static bool IsNews(const Record& record, Instant now);
  // Sort key of news: the number of crashes, where a contradiction counts like
  // a suspicion, and the time of the latest one.
  static std::pair<std::size_t, Instant> EvidenceRank(const Record& record);

  std::map<PromptPartId, Record> records_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_POISON_PART_DETECTOR_H_
