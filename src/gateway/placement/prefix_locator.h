#ifndef GATEWAY_PLACEMENT_PREFIX_LOCATOR_H_
#define GATEWAY_PLACEMENT_PREFIX_LOCATOR_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/prompt_shape.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// Tells which engines are expected to hold the shared parts of a prompt in
// their memory.
//
// Rendezvous hashing gives all instances the same order of engines for each
// subject without a shared table; the first one is the subject's home. An
// engine that was listed a short time ago is not the home of anything yet: what
// it will be asked for is still held by the engine that was the home before.
// Besides, an instance remembers where it sent a subject.
class PrefixLocator {
 public:
  using Servers = std::vector<const BackendServer*>;

  // How long an engine is expected to keep a part that was just read.
  static constexpr Millis kPrefixLifetime{20000};
  // An engine is the home of its subjects once it was listed for so long.
  static constexpr Millis kWarmUpTime{8000};

  // A request with the prompt was sent to the server.
  void RecordPrefixSent(const BackendServer& server,
                        const PromptShape& prompt,
                        Instant now);

  // At most `count` servers in the order in which requests about the prompt's
  // subject go to them; empty without a subject.
  static Servers RankServers(const Servers& servers,
                             const PromptShape& prompt,
                             std::size_t count);
  // Whether this instance sent the subject to the server a short time ago.
  bool HasSentPrefix(const BackendServer& server,
                     const PromptShape& prompt,
                     Instant now) const;
  // Whether the server is expected to hold the shared parts of the prompt.
  // `listed` are all servers that requests like this one go to, leaving ones
  // too.
  bool HoldsPrefix(const BackendServer& server,
                   const Servers& listed,
                   const PromptShape& prompt,
                   Instant now) const;
  // A server other than `target` that is expected to hold them; null if there
  // is none.
  const BackendServer* FindPrefixHolder(const BackendServer& target,
                                        const Servers& listed,
                                        const PromptShape& prompt,
                                        Instant now) const;

 private:
  using SendTimes = std::unordered_map<BackendId, Instant>;

  void Prune(Instant now);

  // When this instance last sent a subject to a server.
  std::unordered_map<std::uint64_t, SendTimes> sent_prefixes_;
  Instant last_prune_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_PREFIX_LOCATOR_H_
