#ifndef SUPPORT_CHILD_PROCESS_H_
#define SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace bamboomount::support {

// Returns the path of the program `name` of this build, for example
// "standin_platform".
std::string ProgramPath(const std::string& name);

// A child process of a test. The destructor kills and reaps it. Signals are
// sent to this process only, not to its children. Functions throw
// std::runtime_error on failure. Not thread-safe.
class ChildProcess {
 public:
  // Only keeps a test from hanging; no test checks durations with it.
  static constexpr std::chrono::seconds kDefaultDeadline{30};

  // Starts `program` (a path) with its standard output connected to ReadLine.
  // It inherits standard error from the test.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Returns the next line of standard output without its line feed, or nothing
  // once standard output is closed. Throws after `deadline`.
  std::optional<std::string> ReadLine(
      std::chrono::milliseconds deadline = kDefaultDeadline);
  // Reads lines up to {"listening":"ip:port"} and returns the address. Throws
  // if standard output is closed first, or after `deadline`.
  std::string ReadListeningAddress(
      std::chrono::milliseconds deadline = kDefaultDeadline);

  // Sends `signal` unless the process has been reaped.
  void Signal(int signal);
  // Sends SIGSTOP and waits until the process is stopped or has exited. Does
  // nothing if it is already stopped.
  void Stop();
  // Sends SIGCONT.
  void Continue();
  // Waits for the process to exit and returns its status as waitpid reports it.
  // Throws after `deadline`.
  int Wait(std::chrono::milliseconds deadline = kDefaultDeadline);
  // Whether the process has not exited; reaps it if it has.
  bool running();

  pid_t pid() const { return pid_; }

 private:
  // Closes the pipe, then kills and reaps the process unless it has been
  // reaped.
  void KillAndReap();

  pid_t pid_ = -1;
  int output_ = -1;
  std::string buffer_;
  std::optional<int> status_;
  bool stopped_ = false;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_CHILD_PROCESS_H_
