#include "support/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace bamboomount::support {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{2};

[[noreturn]] void Fail(const std::string& what, int error) {
  throw std::runtime_error(what + ": " +
                           std::generic_category().message(error));
}

int RemainingMillis(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      until - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

std::vector<char*> ToArgv(std::vector<std::string>& words) {
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  return argv;
}

}  // namespace

std::string ProgramPath(const std::string& name) {
  return std::string(BAMBOOMOUNT_PROGRAM_FOLDER) + "/" + name;
}

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments) {
  std::array<int, 2> ends{};
  // With close-on-exec no other child inherits the pipe, so that end of file on
  // it means that this child closed its standard output or exited.
  if (pipe2(ends.data(), O_CLOEXEC) != 0)
    Fail("pipe2", errno);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                ToArgv(words).data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (error != 0) {
    close(ends[0]);
    Fail("cannot start " + program, error);
  }
  output_ = ends[0];
}

ChildProcess::~ChildProcess() {
  KillAndReap();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_(std::exchange(other.output_, -1)),
      buffer_(std::move(other.buffer_)),
      status_(other.status_),
      stopped_(other.stopped_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this == &other)
    return *this;
  KillAndReap();
  pid_ = std::exchange(other.pid_, -1);
  output_ = std::exchange(other.output_, -1);
  buffer_ = std::move(other.buffer_);
  status_ = other.status_;
  stopped_ = other.stopped_;
  return *this;
}

void ChildProcess::KillAndReap() {
  if (output_ >= 0)
    close(std::exchange(output_, -1));
  if (pid_ < 0 || status_)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

std::optional<std::string> ChildProcess::ReadLine(
    std::chrono::milliseconds deadline) {
  const auto until = Clock::now() + deadline;
  while (true) {
    const auto line_end = buffer_.find('\n');
    if (line_end != std::string::npos) {
      std::string line = buffer_.substr(0, line_end);
      buffer_.erase(0, line_end + 1);
      return line;
    }
    pollfd waiting{output_, POLLIN, 0};
    const int ready = poll(&waiting, 1, RemainingMillis(until));
    if (ready == 0)
      throw std::runtime_error(
          "timed out waiting for a line on standard output");
    if (ready < 0)
      continue;
    std::array<char, 4096> chunk{};
    const ssize_t size = read(output_, chunk.data(), chunk.size());
    if (size < 0 && errno == EINTR)
      continue;
    if (size <= 0)
      return std::nullopt;
    buffer_.append(chunk.data(), static_cast<std::size_t>(size));
  }
}

std::string ChildProcess::ReadListeningAddress(
    std::chrono::milliseconds deadline) {
  const auto until = Clock::now() + deadline;
  while (const auto line =
             ReadLine(std::chrono::milliseconds(RemainingMillis(until)))) {
    const auto json = nlohmann::json::parse(*line, nullptr, false);
    if (json.is_object() && json.contains("listening"))
      return json["listening"].get<std::string>();
  }
  throw std::runtime_error(
      "program closed its standard output without printing its address");
}

void ChildProcess::Signal(int signal) {
  if (pid_ >= 0 && !status_)
    kill(pid_, signal);
}

void ChildProcess::Stop() {
  // The kernel reports a stop only once; waiting for it again would block
  // forever.
  if (pid_ < 0 || status_ || stopped_)
    return;
  Signal(SIGSTOP);
  int status = 0;
  if (waitpid(pid_, &status, WUNTRACED) != pid_)
    return;
  if (WIFSTOPPED(status))
    stopped_ = true;
  else
    status_ = status;
}

void ChildProcess::Continue() {
  stopped_ = false;
  Signal(SIGCONT);
}

int ChildProcess::Wait(std::chrono::milliseconds deadline) {
  const auto until = Clock::now() + deadline;
  while (running()) {
    if (Clock::now() >= until)
      throw std::runtime_error("timed out waiting for the program to exit");
    std::this_thread::sleep_for(kPollInterval);
  }
  return status_.value_or(0);
}

bool ChildProcess::running() {
  if (pid_ < 0 || status_)
    return false;
  int status = 0;
  const pid_t ended = waitpid(pid_, &status, WNOHANG);
  if (ended == pid_)
    status_ = status;
  return ended == 0;
}

}  // namespace bamboomount::support
