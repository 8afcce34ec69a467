#ifndef TESTS_STATE_LOG_FIXTURE_H_
#define TESTS_STATE_LOG_FIXTURE_H_

#include <string>
#include <vector>

#include "state/in_memory_stores.h"
#include "state/state.h"

namespace bamboomount {

inline constexpr Millis kTestTimeout{2000};

// Returns a small valid configuration that contains `reason` in a comment, so
// that texts for different reasons differ.
std::string ConfigTextFor(const std::string& reason);

// A change log on in-memory stores, with a fixed wall clock.
struct LogFixture {
  ScriptedTableStore table;
  InMemoryObjectStore objects;
  ChangeLog log{table, objects, [] { return std::int64_t{1796000000}; }};

  Result<AppendOutcome> ApplyConfig(const std::string& author,
                                    std::uint64_t base);
  Result<AppendOutcome> Grant(const std::string& key);
  Result<AppendOutcome> Withdraw(const std::string& key);
  Result<AppendOutcome> Drain(const std::string& instance);

  // Returns the configuration history of the log.
  std::vector<ConfigVersionEntry> History();

  // Appends a first configuration and a random series of changes; returns those
  // that were appended. Must be called inside a rapidcheck property.
  std::vector<Change> AppendRandomChanges();
};

}  // namespace bamboomount

#endif  // TESTS_STATE_LOG_FIXTURE_H_
