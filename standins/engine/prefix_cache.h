#ifndef ENGINE_PREFIX_CACHE_H_
#define ENGINE_PREFIX_CACHE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace standin {

// Remembers which blocks of prompt words were seen last. The hash of a block
// covers all blocks before it, so only common prefixes hit.
class PrefixCache {
 public:
  struct Event {
    std::int64_t sequence = 0;
    std::chrono::steady_clock::time_point time;
    bool stored = false;
    std::uint64_t block = 0;
  };

  PrefixCache(std::size_t capacity, int event_gap)
      : capacity_(capacity), event_gap_(event_gap) {}

  // Enters the prompt and returns how many of its words were cached before.
  std::int64_t LookUpAndInsert(std::string_view prompt);

  // Events after number `after` that are at least `lag` old.
  std::string EventsJson(std::int64_t after,
                         std::chrono::milliseconds lag) const;

 private:
  static constexpr std::size_t kEventCapacity = 4096;

  bool TouchBlock(std::uint64_t block);
  void AddEvent(bool stored, std::uint64_t block);

  const std::size_t capacity_;
  const int event_gap_;
  // Most recently used first.
  std::list<std::uint64_t> lru_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::int64_t sequence_ = 0;
  std::deque<Event> events_;
};

// Words of a text, as the engine counts prompt tokens.
std::int64_t CountWords(std::string_view text);

}  // namespace standin

#endif  // ENGINE_PREFIX_CACHE_H_
