// Gives generated inputs to the checks, for a number of inputs or of seconds.
// See fuzz/README.md.
#include <fcntl.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/checks.h"

namespace bamboomount::fuzz {
namespace {

constexpr std::size_t kMaxInputBytes = 160;

std::string RandomInput(std::mt19937_64& random) {
  std::string input(1 + random() % kMaxInputBytes, '\0');
  for (char& byte : input)
    byte = static_cast<char>(random());
  return input;
}

// What is broken for the input; empty if all properties hold.
std::string Failure(const std::string& input) {
  try {
    CheckInput(input);
    return "";
  } catch (const std::exception& error) {
    return error.what();
  }
}

// Removes and simplifies bytes as long as the same property is broken.
std::string Shrink(std::string input) {
  const std::string failure = Failure(input);
  const auto try_to_use = [&](const std::string& simpler) {
    if (Failure(simpler).substr(0, 40) != failure.substr(0, 40))
      return false;
    input = simpler;
    return true;
  };
  bool changed = true;
  while (changed) {
    changed = false;
    for (std::size_t i = input.size(); i-- > 1;) {
      std::string simpler = input;
      simpler.erase(i, 1);
      if (try_to_use(simpler)) {
        changed = true;
        continue;
      }
      simpler = input;
      simpler[i] = '\0';
      if (input[i] != '\0' && try_to_use(simpler))
        changed = true;
    }
  }
  return input;
}

// The input that is being checked, for KeepCrashingInput().
const std::string* current_input = nullptr;

// Keeps the input that ends the process. Uses only calls that a signal handler
// may use.
void KeepCrashingInput(int signal) {
  const int file =
      open("crashing-input", O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (current_input && file >= 0 &&
      write(file, current_input->data(), current_input->size()) >= 0)
    close(file);
  constexpr std::string_view kNote =
      "the process ends; repeat with: fuzz_messages crashing-input\n";
  if (write(STDERR_FILENO, kNote.data(), kNote.size()) < 0)
    _exit(2);
  std::signal(signal, SIG_DFL);
  raise(signal);
}

// Runs on a stack of its own, since an input may exhaust the usual one.
void HandleCrashes() {
  static std::array<char, 65'536> stack;
  stack_t alternative{};
  alternative.ss_sp = stack.data();
  alternative.ss_size = stack.size();
  sigaltstack(&alternative, nullptr);
  struct sigaction action {};
  action.sa_handler = KeepCrashingInput;
  action.sa_flags = SA_ONSTACK;
  for (const int signal : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE})
    sigaction(signal, &action, nullptr);
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Prints the failure and keeps its input in a file, which repeats it.
void Report(const std::string& input,
            const std::string& failure,
            const std::filesystem::path& folder) {
  const std::filesystem::path path =
      folder / ("failure-" + std::to_string(std::hash<std::string>{}(input)));
  std::ofstream(path, std::ios::binary) << input;
  std::cerr << CheckName(input) << ": " << failure
            << "\nrepeat with: fuzz_messages " << path.string() << "\n";
}

int RunFiles(const std::vector<std::string>& paths) {
  int failures = 0;
  for (const std::string& path : paths) {
    const std::string failure = Failure(ReadFile(path));
    if (failure.empty())
      continue;
    ++failures;
    std::cerr << path << ": " << failure << "\n";
  }
  std::cout << paths.size() << " files, " << failures << " failures\n";
  return failures == 0 ? 0 : 1;
}

struct Run {
  std::uint64_t seed = 1;
  std::uint64_t inputs = 0;
  std::chrono::seconds time{0};
  std::filesystem::path folder;
};

// Reports each property once and goes on, so that one run shows all.
int RunGenerated(const Run& run) {
  std::mt19937_64 random(run.seed);
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::uint64_t> failures;
  std::uint64_t tried = 0;
  const auto end = std::chrono::steady_clock::now() + run.time;
  const auto goes_on = [&] {
    return run.inputs > 0 ? tried < run.inputs
                          : std::chrono::steady_clock::now() < end;
  };
  for (; goes_on(); ++tried) {
    const std::string input = RandomInput(random);
    ++counts[CheckName(input)];
    current_input = &input;
    const std::string failure = Failure(input);
    if (!failure.empty() && ++failures[failure.substr(0, 40)] == 1) {
      const std::string small = Shrink(input);
      Report(small, Failure(small), run.folder);
    }
  }
  std::cout << "seed " << run.seed << ", " << tried << " inputs:";
  for (const auto& [name, count] : counts)
    std::cout << " " << name << " " << count;
  std::cout << "\n";
  for (const auto& [failure, count] : failures)
    std::cout << count << " times: " << failure << "\n";
  return failures.empty() ? 0 : 1;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Checks the readers of messages on generated inputs.");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the inputs", false,
                                      1, "number", command);
  TCLAP::ValueArg<std::uint64_t> inputs("", "inputs",
                                        "Number of inputs; 0: by --seconds",
                                        false, 0, "number", command);
  TCLAP::ValueArg<int> seconds("", "seconds", "Time to run", false, 10,
                               "seconds", command);
  TCLAP::ValueArg<std::string> folder("", "keep", "Folder for failing inputs",
                                      false, ".", "folder", command);
  TCLAP::UnlabeledMultiArg<std::string> files(
      "files", "Inputs to repeat instead of generating some", false, "file",
      command);
  command.parse(argc, argv);
  if (!files.getValue().empty())
    return RunFiles(files.getValue());
  HandleCrashes();
  return RunGenerated({seed.getValue(), inputs.getValue(),
                       std::chrono::seconds(seconds.getValue()),
                       folder.getValue()});
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
