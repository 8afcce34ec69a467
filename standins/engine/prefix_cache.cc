#include "engine/prefix_cache.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace standin {
namespace {

constexpr std::int64_t kBlockWords = 16;

bool IsSpace(char c) {
  return c == ' ' || c == '\n' || c == '\t' || c == '\r';
}

// Returns the offset just past the next word at or after `start`; npos if there
// is none.
std::size_t EndOfWord(std::string_view text, std::size_t start) {
  while (start < text.size() && IsSpace(text[start])) {
    ++start;
  }
  if (start == text.size()) {
    return std::string_view::npos;
  }
  while (start < text.size() && !IsSpace(text[start])) {
    ++start;
  }
  return start;
}

}  // namespace

std::int64_t CountWords(std::string_view text) {
  std::int64_t count = 0;
  for (std::size_t at = EndOfWord(text, 0); at != std::string_view::npos;
       at = EndOfWord(text, at)) {
    ++count;
  }
  return count;
}

std::int64_t PrefixCache::LookUpAndInsert(std::string_view prompt) {
  std::int64_t words = 0;
  std::int64_t cached = 0;
  bool prefix_cached = true;
  for (std::size_t at = EndOfWord(prompt, 0); at != std::string_view::npos;
       at = EndOfWord(prompt, at)) {
    if (++words % kBlockWords != 0) {
      continue;
    }
    prefix_cached = TouchBlock(XXH64(prompt.data(), at, 0)) && prefix_cached;
    if (prefix_cached) {
      cached = words;
    }
  }
  return cached;
}

bool PrefixCache::TouchBlock(std::uint64_t block) {
  if (capacity_ == 0) {
    return false;
  }
  const auto found = blocks_.find(block);
  if (found != blocks_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second);
    return true;
  }
  if (lru_.size() == capacity_) {
    AddEvent(false, lru_.back());
    blocks_.erase(lru_.back());
    lru_.pop_back();
  }
  lru_.push_front(block);
  blocks_.emplace(block, lru_.begin());
  AddEvent(true, block);
  return false;
}

void PrefixCache::AddEvent(bool stored, std::uint64_t block) {
  ++sequence_;
  if (event_gap_ > 0 && sequence_ % event_gap_ == 0) {
    return;
  }
  events_.push_back(
      {sequence_, std::chrono::steady_clock::now(), stored, block});
  if (events_.size() > kEventCapacity) {
    events_.pop_front();
  }
}

std::string PrefixCache::EventsJson(std::int64_t after,
                                    std::chrono::milliseconds lag) const {
  const auto newest = std::chrono::steady_clock::now() - lag;
  nlohmann::json list = nlohmann::json::array();
  for (const Event& event : events_) {
    if (event.sequence <= after || event.time > newest) {
      continue;
    }
    list.push_back({{"sequence", event.sequence},
                    {"event", event.stored ? "stored" : "evicted"},
                    {"block", event.block}});
  }
  return nlohmann::json({{"events", list}}).dump();
}

}  // namespace standin
