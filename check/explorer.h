#ifndef CHECK_EXPLORER_H_
#define CHECK_EXPLORER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <iostream>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace bamboomount::check {

// What happened in a run: the number of the step that was taken at each point.
using Path = std::vector<std::uint8_t>;

// A small system under check. Each world is built anew for each path, since
// classes of the product can't be copied, and must behave the same each time:
//
//   std::vector<std::string> Steps() const;  // possible now, by name
//   void Take(std::size_t step);
//   std::string State() const;      // all that decides how it goes on
//   std::string Violation() const;  // the property that is broken, or empty
//
// Worlds without a clock of their own must not depend on the time.

struct Exploration {
  // Different states, and steps that led to them or to known ones.
  std::uint64_t states = 0;
  std::uint64_t steps = 0;
  std::string violation;
  Path path;
};

// Replays a path. Prints its steps if `out` is set.
template <typename Make>
auto Replay(const Make& make, const Path& path, std::ostream* out = nullptr) {
  auto world = make();
  for (const std::uint8_t step : path) {
    if (out)
      *out << "  " << world->Steps()[step] << "\n";
    world->Take(step);
  }
  return world;
}

// Explores all orders of steps of up to `depth` steps, shortest first, until
// one breaks a property or `max_states` states were found. States that were
// reached before are not explored again.
template <typename Make>
Exploration Explore(const Make& make,
                    std::size_t depth,
                    std::uint64_t max_states) {
  Exploration result;
  std::unordered_set<std::string> known;
  std::deque<Path> frontier{Path()};
  known.insert(make()->State());
  while (!frontier.empty() && known.size() < max_states) {
    const Path path = std::move(frontier.front());
    frontier.pop_front();
    const std::size_t count = Replay(make, path)->Steps().size();
    for (std::size_t step = 0; step < count; ++step) {
      Path next = path;
      next.push_back(static_cast<std::uint8_t>(step));
      const auto world = Replay(make, next);
      ++result.steps;
      result.violation = world->Violation();
      if (!result.violation.empty()) {
        result.path = next;
        result.states = known.size();
        return result;
      }
      if (known.insert(world->State()).second && next.size() < depth)
        frontier.push_back(std::move(next));
    }
  }
  result.states = known.size();
  return result;
}

}  // namespace bamboomount::check

#endif  // CHECK_EXPLORER_H_
