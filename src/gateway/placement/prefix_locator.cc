#include "gateway/placement/prefix_locator.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bamboomount {
namespace {

constexpr Millis kPruneInterval{5000};

bool IsSettled(const BackendServer& server, Instant now) {
  return now - server.listed_since >= PrefixLocator::kSettleTime;
}

// The server with the highest rank for the subject among those that `admits`
// lets through.
template <typename Admits>
const BackendServer* HighestRanked(const PrefixLocator::Servers& servers,
                                   std::uint64_t subject,
                                   Admits admits) {
  if (subject == 0)
    return nullptr;
  const std::string key = std::to_string(subject);
  const BackendServer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const BackendServer* server : servers) {
    if (!admits(*server))
      continue;
    const std::uint64_t weight = RendezvousWeight(key, server->id.value());
    if (best && weight <= best_weight)
      continue;
    best = server;
    best_weight = weight;
  }
  return best;
}

}  // namespace

void PrefixLocator::NoteRead(const BackendServer& server,
                             const PromptShape& prompt,
                             Instant now) {
  const std::uint64_t subject = prompt.SharedPrefixId();
  if (subject == 0)
    return;
  reads_[subject][server.id] = now;
  Prune(now);
}

PrefixLocator::Servers PrefixLocator::Ranked(const Servers& servers,
                                             const PromptShape& prompt,
                                             std::size_t count) {
  if (prompt.SharedPrefixId() == 0)
    return {};
  const std::string key = std::to_string(prompt.SharedPrefixId());
  std::vector<std::pair<std::uint64_t, const BackendServer*>> weights;
  weights.reserve(servers.size());
  for (const BackendServer* server : servers)
    weights.emplace_back(RendezvousWeight(key, server->id.value()), server);
  const auto end = weights.begin() +
                   static_cast<std::ptrdiff_t>(std::min(count, weights.size()));
  std::partial_sort(
      weights.begin(), end, weights.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  Servers ranked;
  for (auto item = weights.begin(); item != end; ++item)
    ranked.push_back(item->second);
  return ranked;
}

bool PrefixLocator::Holds(const BackendServer& server,
                          const Servers& listed,
                          const PromptShape& prompt,
                          Instant now) const {
  if (prompt.SharedPrefixId() == 0 || HasSent(server, prompt, now))
    return true;
  const BackendServer* home = HighestRanked(
      listed, prompt.SharedPrefixId(),
      [now](const BackendServer& other) { return IsSettled(other, now); });
  return home && home->id == server.id;
}

const BackendServer* PrefixLocator::FindHolder(const BackendServer& target,
                                               const Servers& listed,
                                               const PromptShape& prompt,
                                               Instant now) const {
  const BackendServer* known = HighestRanked(
      listed, prompt.SharedPrefixId(), [&](const BackendServer& server) {
        return server.id != target.id && HasSent(server, prompt, now);
      });
  if (known)
    return known;
  return HighestRanked(
      listed, prompt.SharedPrefixId(), [&](const BackendServer& server) {
        return server.id != target.id && IsSettled(server, now);
      });
}

bool PrefixLocator::HasSent(const BackendServer& server,
                            const PromptShape& prompt,
                            Instant now) const {
  const auto reads = reads_.find(prompt.SharedPrefixId());
  if (reads == reads_.end())
    return false;
  const auto read = reads->second.find(server.id);
  return read != reads->second.end() && now - read->second < kReadLifetime;
}

void PrefixLocator::Prune(Instant now) {
  if (now - last_prune_ < kPruneInterval)
    return;
  last_prune_ = now;
  for (auto& [subject, reads] : reads_) {
    std::erase_if(reads, [now](const auto& read) {
      return now - read.second >= kReadLifetime;
    });
  }
  std::erase_if(reads_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace bamboomount
