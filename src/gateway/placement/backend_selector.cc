#include "gateway/placement/backend_selector.h"

#include <functional>

namespace bamboomount {
namespace {

// What a request that is being served costs a newcomer, in prompt tokens: each
// one lengthens every step of the engine a little.
constexpr double kTokensPerServedRequest = 300;
// Reading shared parts again also takes the engine's time from others.
constexpr double kRepeatedReadWeight = 2;
// What a request to another zone costs, in prompt tokens.
constexpr double kOtherZoneTokens = 1500;
// The same for plain services, in requests served.
constexpr double kOtherZoneRequests = 0.6;
// How long a server is expected to keep a shared part that was just read.
constexpr Millis kReadLifetime{20000};
constexpr Millis kPruneInterval{5000};

std::uint64_t Mix(std::uint64_t value) {
  // Finalizer of SplitMix64 (Steele, Lea, Flood 2014).
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

// FNV-1a; equal on all instances, unlike std::hash.
std::uint64_t HashText(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3;
  }
  return hash;
}

const BackendServer* Preferred(
    const std::vector<const BackendServer*>& candidates,
    std::uint64_t subject) {
  const BackendServer* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const BackendServer* server : candidates) {
    const std::uint64_t weight = Mix(subject ^ HashText(server->id.value()));
    if (best && weight <= best_weight)
      continue;
    best = server;
    best_weight = weight;
  }
  return best;
}

}  // namespace

const BackendServer* BackendSelector::Choose(
    const std::vector<const BackendServer*>& candidates,
    const PlacementRequest& request,
    Instant now) {
  std::vector<const BackendServer*> sound;
  for (const BackendServer* server : candidates) {
    if (!loads_.IsEjected(server->id, now))
      sound.push_back(server);
  }
  const auto& pool = sound.empty() ? candidates : sound;
  const std::uint64_t subject = request.prompt.Subject();
  const BackendServer* preferred =
      subject == 0 ? nullptr : Preferred(pool, subject);
  const BackendServer* best = nullptr;
  double best_cost = 0;
  for (const BackendServer* server : pool) {
    const double cost = Cost(*server, preferred, request, now);
    if (best && cost >= best_cost)
      continue;
    best = server;
    best_cost = cost;
  }
  return best;
}

double BackendSelector::Cost(const BackendServer& server,
                             const BackendServer* preferred,
                             const PlacementRequest& request,
                             Instant now) const {
  const BackendLoad load = loads_.Total(server.id);
  const double slowness = loads_.Slowness(server.id);
  const bool other_zone = server.zone != request.zone;
  if (!request.is_engine) {
    const double served = load.requests + 1.0;
    return served * slowness + (other_zone ? kOtherZoneRequests : 0);
  }
  const bool expects_hit =
      preferred == &server || HasRead(server.id, request.prompt.Subject(), now);
  const auto shared =
      static_cast<double>(request.prompt.SharedTokens().value());
  const double repeated = expects_hit ? 0 : shared * kRepeatedReadWeight;
  const double waiting = static_cast<double>(load.unread_tokens) +
                         load.requests * kTokensPerServedRequest;
  return waiting * slowness + repeated + (other_zone ? kOtherZoneTokens : 0);
}

void BackendSelector::NoteRead(const BackendServer& server,
                               const PromptShape& prompt,
                               Instant now) {
  const std::uint64_t subject = prompt.Subject();
  if (subject == 0)
    return;
  reads_[subject][server.id] = now;
  Prune(now);
}

Tokens BackendSelector::ExpectedRead(const BackendServer& server,
                                     const PromptShape& prompt,
                                     Instant now) const {
  if (prompt.Subject() != 0 && HasRead(server.id, prompt.Subject(), now))
    return prompt.input - prompt.SharedTokens();
  return prompt.input;
}

bool BackendSelector::HasRead(const BackendId& server,
                              std::uint64_t subject,
                              Instant now) const {
  const auto reads = reads_.find(subject);
  if (reads == reads_.end())
    return false;
  const auto read = reads->second.find(server);
  return read != reads->second.end() && now - read->second < kReadLifetime;
}

void BackendSelector::Prune(Instant now) {
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
