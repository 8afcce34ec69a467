#ifndef GATEWAY_PLACEMENT_PREFIX_LOCATOR_H_
#define GATEWAY_PLACEMENT_PREFIX_LOCATOR_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/prompt_shape.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// Predicts which engines hold the shared prefix of a prompt in their cache. Not
// thread-safe.
//
// Rendezvous hashing ranks the engines for each shared prefix, and all
// instances compute the same ranking without a shared table. The first engine
// is the prefix's home. An engine that was listed less than kWarmUpTime ago is
// not yet treated as a home, because its prefixes are still cached by the
// previous home. In addition, an instance remembers for kPrefixLifetime to
// which engines it sent a prefix.
class PrefixLocator {
 public:
  using Servers = std::vector<const BackendServer*>;

  // Time for which an engine is expected to keep a prefix after a request with
  // it.
  static constexpr Millis kPrefixLifetime{20000};
  // Time after which a newly listed engine is expected to hold the prefixes
  // that it is the home of.
  static constexpr Millis kWarmUpTime{8000};

  // Records that a request with the prompt was sent to the server.
  void RecordPrefixSent(const BackendServer& server,
                        const PromptShape& prompt,
                        Instant now);

  // Returns at most `count` servers in the order of preference for the prompt's
  // shared prefix; empty if the prompt has none.
  static Servers RankServers(const Servers& servers,
                             const PromptShape& prompt,
                             std::size_t count);
  // Whether this instance sent the prompt's shared prefix to the server within
  // kPrefixLifetime.
  bool HasSentPrefix(const BackendServer& server,
                     const PromptShape& prompt,
                     Instant now) const;
  // Whether the server is expected to hold the prompt's shared prefix; true if
  // the prompt has none. `listed` are all servers that such prompts are sent
  // to, including draining ones.
  bool HoldsPrefix(const BackendServer& server,
                   const Servers& listed,
                   const PromptShape& prompt,
                   Instant now) const;
  // Returns a server other than `target` that is expected to hold the prompt's
  // shared prefix; null if there is none.
  const BackendServer* FindPrefixHolder(const BackendServer& target,
                                        const Servers& listed,
                                        const PromptShape& prompt,
                                        Instant now) const;

 private:
  using SendTimes = std::unordered_map<BackendId, Instant>;

  void Prune(Instant now);

  // When this instance last sent each shared prefix to each server.
  std::unordered_map<std::uint64_t, SendTimes> sent_prefixes_;
  Instant last_prune_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_PREFIX_LOCATOR_H_
