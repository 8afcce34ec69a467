#include "gateway/placement/prefix_locator.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bamboomount {
namespace {

constexpr Millis kPruneInterval{5000};

bool IsWarmedUp(const BackendServer& server, Instant now) {
  return now - server.listed_since >= PrefixLocator::kWarmUpTime;
}

// The server with the highest rank for the prefix_id among those that `matches`
// lets through.
template <typename Predicate>
const BackendServer* HighestRanked(const PrefixLocator::Servers& servers,
                                   std::uint64_t prefix_id,
                                   Predicate matches) {
  if (prefix_id == 0)
    return nullptr;
  const std::string key = std::to_string(prefix_id);
  const BackendServer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const BackendServer* server : servers) {
    if (!matches(*server))
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

void PrefixLocator::RecordPrefixSent(const BackendServer& server,
                                     const PromptShape& prompt,
                                     Instant now) {
  const std::uint64_t prefix_id = prompt.SharedPrefixId();
  if (prefix_id == 0)
    return;
  sent_prefixes_[prefix_id][server.id] = now;
  Prune(now);
}

PrefixLocator::Servers PrefixLocator::RankServers(const Servers& servers,
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

bool PrefixLocator::HoldsPrefix(const BackendServer& server,
                                const Servers& listed,
                                const PromptShape& prompt,
                                Instant now) const {
  if (prompt.SharedPrefixId() == 0 || HasSentPrefix(server, prompt, now))
    return true;
  const BackendServer* home = HighestRanked(
      listed, prompt.SharedPrefixId(),
      [now](const BackendServer& other) { return IsWarmedUp(other, now); });
  return home && home->id == server.id;
}

const BackendServer* PrefixLocator::FindPrefixHolder(
    const BackendServer& target,
    const Servers& listed,
    const PromptShape& prompt,
    Instant now) const {
  const BackendServer* recent_holder = HighestRanked(
      listed, prompt.SharedPrefixId(), [&](const BackendServer& server) {
        return server.id != target.id && HasSentPrefix(server, prompt, now);
      });
  if (recent_holder)
    return recent_holder;
  return HighestRanked(
      listed, prompt.SharedPrefixId(), [&](const BackendServer& server) {
        return server.id != target.id && IsWarmedUp(server, now);
      });
}

bool PrefixLocator::HasSentPrefix(const BackendServer& server,
                                  const PromptShape& prompt,
                                  Instant now) const {
  const auto send_times = sent_prefixes_.find(prompt.SharedPrefixId());
  if (send_times == sent_prefixes_.end())
    return false;
  const auto entry = send_times->second.find(server.id);
  return entry != send_times->second.end() &&
         now - entry->second < kPrefixLifetime;
}

void PrefixLocator::Prune(Instant now) {
  if (now - last_prune_ < kPruneInterval)
    return;
  last_prune_ = now;
  for (auto& [prefix_id, send_times] : sent_prefixes_) {
    std::erase_if(send_times, [now](const auto& entry) {
      return now - entry.second >= kPrefixLifetime;
    });
  }
  std::erase_if(sent_prefixes_,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace bamboomount
