#ifndef SUPPORT_CHILD_PROCESS_H_
#define SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace bamboomount::support {

// Path of a program of this build, for example "standin_platform".
std::string ProgramPath(const std::string& name);

// A program that a test started. It is killed and reaped when the object goes
// out of scope. Signals go to this process only. Failures throw
// std::runtime_error. Not thread-safe.
class ChildProcess {
 public:
  // Bounds a hang; no test asserts on time.
  static constexpr std::chrono::seconds kDefaultDeadline{30};

  // Starts `program` with standard output connected to this object and
  // standard error shared with the test.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // The next line of standard output without its line feed. Empty when
  // standard output was closed; throws when `deadline` passes first.
  std::optional<std::string> ReadLine(
      std::chrono::milliseconds deadline = kDefaultDeadline);
  // Reads lines up to {"listening":"ip:port"} and returns the address. Throws
  // when the process ends before it printed one.
  std::string ReadListeningAddress(
      std::chrono::milliseconds deadline = kDefaultDeadline);

  // Sends `signal` unless the process was reaped.
  void Signal(int signal);
  // Sends SIGSTOP and waits until the process is stopped or has ended. Does
  // nothing if it is stopped already.
  void Stop();
  // Sends SIGCONT.
  void Continue();
  // Waits for the end and returns the status as waitpid gives it. Throws when
  // `deadline` passes first.
  int Wait(std::chrono::milliseconds deadline = kDefaultDeadline);
  // Whether the process has not ended yet.
  bool running();

  pid_t pid() const { return pid_; }

 private:
  void KillAndReap();

  pid_t pid_ = -1;
  int output_ = -1;
  std::string buffer_;
  std::optional<int> status_;
  bool stopped_ = false;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_CHILD_PROCESS_H_
