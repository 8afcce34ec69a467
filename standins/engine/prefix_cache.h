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

// Least recently used cache of blocks of 16 prompt words. The hash of a block
// covers all blocks before it, so only common prefixes hit. Not thread-safe.
class PrefixCache {
 public:
  // A block was stored or evicted.
  struct Event {
    std::int64_t sequence = 0;
    std::chrono::steady_clock::time_point time;
    // False if the block was evicted.
    bool stored = false;
    std::uint64_t block = 0;
  };

  // Holds at most `capacity` blocks; 0 disables the cache. Every `event_gap`-th
  // event is lost, though it uses a sequence number; 0 loses none.
  PrefixCache(std::size_t capacity, int event_gap)
      : capacity_(capacity), event_gap_(event_gap) {}

  // Returns how many leading words of `prompt` are cached, then stores its
  // complete blocks.
  std::int64_t LookUpAndInsert(std::string_view prompt);

  // Returns the events with a sequence number above `after` that are at least
  // `lag` old, as JSON.
  std::string EventsJson(std::int64_t after,
                         std::chrono::milliseconds lag) const;

 private:
  // Number of events that are retained; older ones are discarded.
  static constexpr std::size_t kEventCapacity = 4096;

  // Marks `block` as most recently used, storing it if needed. Returns whether
  // it was cached.
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

// Number of whitespace-separated words in `text`; the engine counts each as one
// prompt token.
std::int64_t CountWords(std::string_view text);

}  // namespace standin

#endif  // ENGINE_PREFIX_CACHE_H_
