#ifndef TESTS_STATE_LOG_FIXTURE_H_
#define TESTS_STATE_LOG_FIXTURE_H_

#include <string>
#include <vector>

#include "state/in_memory_stores.h"
#include "state/state.h"

namespace bamboomount {

inline constexpr Millis kTestTimeout{2000};

// A small configuration whose text differs by `reason`.
std::string ConfigTextFor(const std::string& reason);

// A log over in-memory stores.
struct LogFixture {
  ScriptedTableStore table;
  InMemoryObjectStore objects;
  ChangeLog log{table, objects, [] { return std::int64_t{1796000000}; }};

  Result<AppendOutcome> ApplyConfig(const std::string& author,
                                    std::uint64_t base);
  Result<AppendOutcome> Grant(const std::string& key);
  Result<AppendOutcome> Withdraw(const std::string& key);
  Result<AppendOutcome> Drain(const std::string& instance);

  // The history of the whole log.
  std::vector<ConfigVersionEntry> History();

  // Appends a random series of valid changes after a first configuration.
  // Call it inside a rapidcheck property only.
  std::vector<Change> AppendRandomChanges();
};

}  // namespace bamboomount

#endif  // TESTS_STATE_LOG_FIXTURE_H_
