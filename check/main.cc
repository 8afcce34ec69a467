// Explores orders of events with classes of the product; see check/README.md.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "check/attempts_world.h"
#include "check/explorer.h"
#include "check/lease_world.h"
#include "check/replication_world.h"

namespace bamboomount::check {
namespace {

struct Limits {
  // Steps from the first state; 0 stands for the depth of CI.
  std::size_t depth = 0;
  std::uint64_t max_states = 0;
  // If not empty, only this path is replayed.
  std::string path;
};

std::string ToText(const Path& path) {
  std::string text;
  for (const std::uint8_t step : path)
    text += (text.empty() ? "" : ".") + std::to_string(step);
  return text;
}

Path ToPath(const std::string& text) {
  Path path;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, '.');)
    path.push_back(static_cast<std::uint8_t>(std::stoi(part)));
  return path;
}

template <typename Make>
bool Check(const std::string& name,
           const Make& make,
           std::size_t ci_depth,
           const Limits& limits) {
  if (!limits.path.empty()) {
    const auto world = Replay(make, ToPath(limits.path), &std::cout);
    std::cout << name << ": " << world->Violation() << std::endl;
    return world->Violation().empty();
  }
  const std::size_t depth = limits.depth > 0 ? limits.depth : ci_depth;
  const Exploration result = Explore(make, depth, limits.max_states);
  std::cout << name << ": " << result.states << " states, " << result.steps
            << " steps, depth " << depth
            << (result.states >= limits.max_states ? " not completed" : "")
            << std::endl;
  if (result.violation.empty())
    return true;
  std::cout << name << ": " << result.violation << ":" << std::endl;
  Replay(make, result.path, &std::cout);
  std::cout << "repeat with: model_check --world " << name << " --path "
            << ToText(result.path) << std::endl;
  return false;
}

struct World {
  std::string name;
  std::function<bool(const Limits&)> check;
};

std::vector<World> AllWorlds() {
  constexpr std::size_t kLeaseDepth = 13;
  constexpr std::size_t kLeaseRestoreDepth = 8;
  constexpr std::size_t kReplicationDepth = 7;
  constexpr std::size_t kAttemptsDepth = 4;
  std::vector<World> worlds;
  const auto add_lease = [&worlds](const std::string& world, std::size_t depth,
                                   LeaseWorld::Options options) {
    worlds.push_back(
        {world, [=](const Limits& limits) {
           return Check(
               world, [=] { return std::make_unique<LeaseWorld>(options); },
               depth, limits);
         }});
  };
  add_lease("lease-steady", kLeaseDepth, {});
  add_lease("lease-restore", kLeaseRestoreDepth, {1, 2, true});
  const auto add_replication = [&worlds](const std::string& world,
                                         ReplicationWorld::Options options) {
    worlds.push_back(
        {world, [=](const Limits& limits) {
           return Check(
               world,
               [=] { return std::make_unique<ReplicationWorld>(options); },
               kReplicationDepth, limits);
         }});
  };
  // With delays, more instances would have too many states.
  add_replication("replication-2", {2, true, false});
  add_replication("replication-3", {3, false, false});
  add_replication("replication-lost", {2, true, true});
  add_replication("replication-restore", {2, true, false, 1, 1});
  add_replication("replication-restore-3", {3, false, false, 1, 2});
  const std::vector<std::pair<std::string, RequestKind>> kinds{
      {"safe", RequestKind::kIdempotent},
      {"once", RequestKind::kAtMostOnce},
      {"stream", RequestKind::kStream},
      {"resumable", RequestKind::kResumableStream}};
  const auto add_attempts = [&worlds](const std::string& name,
                                      AttemptsWorld::Options options) {
    for (const int attempts : {1, 2, 3}) {
      options.attempts = attempts;
      const std::string world =
          "attempts-" + name + "-" + std::to_string(attempts);
      worlds.push_back(
          {world, [=](const Limits& limits) {
             return Check(
                 world,
                 [=] { return std::make_unique<AttemptsWorld>(options); },
                 kAttemptsDepth, limits);
           }});
    }
  };
  for (const auto& [name, kind] : kinds)
    add_attempts(name, {kind});
  AttemptsWorld::Options mixed{RequestKind::kResumableStream};
  mixed.versions = {"v1", "v2", "v1"};
  add_attempts("mixed", mixed);
  mixed.resumption = AttemptsWorld::Resumption::kOfKnownOrigin;
  add_attempts("resumed", mixed);
  mixed.resumption = AttemptsWorld::Resumption::kOfUnknownOrigin;
  add_attempts("unknown", mixed);
  return worlds;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Explores orders of events up to a depth.");
  TCLAP::ValueArg<std::size_t> depth("", "depth",
                                     "Steps of each order; 0 for those of CI",
                                     false, 0, "number", command);
  TCLAP::ValueArg<std::uint64_t> states("", "states",
                                        "States after which a world ends",
                                        false, 2'000'000, "number", command);
  TCLAP::ValueArg<std::string> name("", "world",
                                    "Only the worlds whose names begin so",
                                    false, "", "name", command);
  TCLAP::ValueArg<std::string> path("", "path", "Only this order of steps",
                                    false, "", "numbers", command);
  command.parse(argc, argv);
  // The log of the classes under check.
  if (!std::freopen("/dev/null", "w", stderr))
    return 2;
  bool holds = true;
  bool found = false;
  for (const World& world : AllWorlds()) {
    if (!world.name.starts_with(name.getValue()))
      continue;
    found = true;
    holds =
        world.check({depth.getValue(), states.getValue(), path.getValue()}) &&
        holds;
  }
  if (!found)
    std::cout << "no world is named so" << std::endl;
  return !found ? 2 : holds ? 0 : 1;
}

}  // namespace
}  // namespace bamboomount::check

int main(int argc, char** argv) {
  try {
    return bamboomount::check::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cout << error.what() << std::endl;
    return 2;
  }
}
