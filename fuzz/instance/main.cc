// Sends generated messages to a process of the entry instance, as those around
// it may. See fuzz/README.md.
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <random>
#include <string>

#include "fuzz/instance/instance_fuzzer.h"

namespace bamboomount::fuzz {
namespace {

constexpr std::size_t kMaxInputBytes = 120;

// The n-th input of a seed, so that one input can be repeated alone.
std::string InputOf(std::uint64_t seed, std::uint64_t number) {
  std::seed_seq seeds{seed, number};
  std::mt19937_64 random(seeds);
  std::string input(1 + random() % kMaxInputBytes, '\0');
  for (char& byte : input)
    byte = static_cast<char>(random());
  return input;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Sends generated messages to an entry instance.");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the inputs", false,
                                      1, "number", command);
  TCLAP::ValueArg<std::uint64_t> first("", "first", "First input of the seed",
                                       false, 0, "number", command);
  TCLAP::ValueArg<std::uint64_t> inputs("", "inputs",
                                        "Number of inputs; 0: by --seconds",
                                        false, 0, "number", command);
  TCLAP::ValueArg<int> seconds("", "seconds", "Time to run", false, 10,
                               "seconds", command);
  command.parse(argc, argv);
  InstanceFuzzer fuzzer;
  std::uint64_t number = first.getValue();
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(seconds.getValue());
  const auto goes_on = [&] {
    return inputs.getValue() > 0 ? number < first.getValue() + inputs.getValue()
                                 : std::chrono::steady_clock::now() < end;
  };
  try {
    for (; goes_on(); ++number)
      fuzzer.Try(InputOf(seed.getValue(), number));
  } catch (const std::exception& failure) {
    std::cout << failure.what() << "\nrepeat with: fuzz_instance --seed "
              << seed.getValue() << " --first " << number << " --inputs 1, or "
              << "without --first if it needs those before\n";
    return 1;
  }
  std::cout << "seed " << seed.getValue() << ", " << number - first.getValue()
            << " inputs:";
  for (const auto& [name, count] : fuzzer.counts())
    std::cout << " " << name << " " << count;
  std::cout << "\n";
  return 0;
}

}  // namespace
}  // namespace bamboomount::fuzz

int main(int argc, char** argv) {
  try {
    return bamboomount::fuzz::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
