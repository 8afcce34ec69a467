// Stand-ins and process control for the review scripts: a table store, backend
// servers, HTTP clients and entry instances. Everything runs on 127.0.0.1.
#ifndef REVIEW_SUPPORT_KIT_H_
#define REVIEW_SUPPORT_KIT_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

// Makes an object that lives until the process ends, because threads of its own
// use it.
template <typename T, typename... Args>
T& Make(Args&&... args) {
  return *new T(std::forward<Args>(args)...);
}

// Processes that this one started and that have not been waited for.
class Children {
 public:
  static Children& Instance() {
    static Children& children = Make<Children>();
    return children;
  }
  void Add(pid_t process) {
    const std::lock_guard lock(mutex_);
    processes_.insert(process);
  }
  // Whether the process has ended by itself; `status` is as of waitpid.
  bool HasEnded(pid_t process, int& status) {
    const std::lock_guard lock(mutex_);
    if (!processes_.contains(process) ||
        waitpid(process, &status, WNOHANG) != process)
      return false;
    processes_.erase(process);
    return true;
  }
  void End(pid_t process) {
    const std::lock_guard lock(mutex_);
    if (processes_.erase(process) == 0)
      return;
    kill(process, SIGCONT);
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  void EndAll() {
    std::set<pid_t> all;
    {
      const std::lock_guard lock(mutex_);
      all = processes_;
    }
    for (const pid_t process : all)
      End(process);
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> processes_;
};

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Lines of what was sent, answered and run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ", Seconds());
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  // Request line or status line.
  std::string first_line;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  bool complete = false;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
  std::string method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string target() const {
    const auto start = first_line.find(' ') + 1;
    return first_line.substr(start, first_line.find(' ', start) - start);
  }
  std::string path() const {
    return target().substr(0, target().find('?'));
  }
  std::string query(const std::string& name) const {
    const std::string all = target();
    std::size_t at = all.find('?');
    while (at != std::string::npos) {
      const std::size_t end = all.find('&', at + 1);
      const std::string pair = all.substr(at + 1, end - at - 1);
      if (pair.rfind(name + "=", 0) == 0)
        return pair.substr(name.size() + 1);
      at = end;
    }
    return "";
  }
};

// One TCP connection with blocking reads and a read time limit.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const std::string& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(
        std::atoi(address.c_str() + address.find(':') + 1)));
    inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(),
              &to.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  void Close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  // Closes with a reset.
  void Reset() {
    const linger none{1, 0};
    if (fd_ >= 0)
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    Close();
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t sent = ::send(fd_, bytes.data() + done,
                                  bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Reads one message with a length, without a body, or in chunks.
  Message Read(double limit_s) {
    Message message;
    const double end = Seconds() + limit_s;
    std::size_t head_end;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end))
        return message;
    }
    std::istringstream head(buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    std::string line;
    std::getline(head, line);
    message.first_line = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      line = line.substr(0, line.find('\r'));
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers[Lower(line.substr(0, colon))] = value;
    }
    if (message.header("transfer-encoding") == "chunked")
      return ReadChunks(std::move(message), end);
    const std::size_t length = static_cast<std::size_t>(
        std::atoll(message.header("content-length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(end))
        return message;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    message.complete = true;
    return message;
  }
  // Whether bytes or the end of the connection can be read.
  bool HasInput() {
    pollfd poll_fd{fd_, POLLIN, 0};
    return !buffer_.empty() || poll(&poll_fd, 1, 0) > 0;
  }
  // Whether the peer has closed the connection.
  bool PeerClosed() {
    char byte;
    const ssize_t got = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  Message ReadChunks(Message message, double end) {
    while (true) {
      std::size_t line_end;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(end))
          return message;
      }
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill(end))
          return message;
      }
      message.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        message.complete = true;
        return message;
      }
    }
  }
  bool Fill(double end) {
    pollfd poll_fd{fd_, POLLIN, 0};
    const double left = end - Seconds();
    if (fd_ < 0 || left <= 0 ||
        poll(&poll_fd, 1, static_cast<int>(left * 1000) + 1) <= 0)
      return false;
    char chunk[65536];
    const ssize_t got = recv(fd_, chunk, sizeof(chunk), 0);
    if (got <= 0)
      return false;
    buffer_.append(chunk, static_cast<std::size_t>(got));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline std::string Reply(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Listens on a free port and runs a thread for each connection.
class Server {
 public:
  // Returns false to close the connection.
  using Handler = std::function<bool(Connection&, const Message&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd_.load(), reinterpret_cast<sockaddr*>(&any), sizeof(any)) != 0 ||
        ::listen(fd_.load(), 512) != 0)
      throw std::runtime_error("cannot listen");
    socklen_t size = sizeof(any);
    getsockname(fd_.load(), reinterpret_cast<sockaddr*>(&any), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
    std::thread([this] { Accept(); }).detach();
  }
  const std::string& address() const { return address_; }
  // Stops listening, as the end of a process does.
  void Stop() {
    const int fd = fd_.exchange(-1);
    if (fd >= 0) {
      shutdown(fd, SHUT_RDWR);
      ::close(fd);
    }
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(fd_.load(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([this, fd] {
        Connection connection(fd);
        while (true) {
          const Message request = connection.Read(3600);
          if (!request.complete || !handler_(connection, request))
            return;
        }
      }).detach();
    }
  }

  Handler handler_;
  std::atomic<int> fd_;
  std::string address_;
};

inline std::string EncodeBase64(const std::string& text) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 |
             (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

inline std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    int digit = c == '+' ? 62 : c == '/' ? 63 : -1;
    if (c >= 'A' && c <= 'Z')
      digit = c - 'A';
    if (c >= 'a' && c <= 'z')
      digit = c - 'a' + 26;
    if (c >= '0' && c <= '9')
      digit = c - '0' + 52;
    if (digit < 0)
      continue;
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    if (++count % 4 != 1)
      out += static_cast<char>(bits >> (count % 4 == 0   ? 0
                                        : count % 4 == 3 ? 2
                                                         : 4) &
                               0xff);
  }
  return out;
}

// Time until the store's answer arrives, in seconds: 4 ms in the store and
// 1.4 ms on the way in each direction.
constexpr double kStoreLatency = 0.0068;

// The platform's table store and its interface for duties. Loses nothing, and
// answers every call in the order of the calls.
class Store {
 public:
  Store()
      : server_([this](Connection& connection, const Message& request) {
          return Handle(connection, request);
        }) {}
  const std::string& address() const { return server_.address(); }

  // Returns when the store has accepted the row, in seconds.
  double Put(const std::string& table,
             const std::string& key,
             const std::string& value) {
    const std::lock_guard lock(mutex_);
    Write({table, key}, value, false);
    return Seconds();
  }
  double Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    Write({table, key}, "", true);
    return Seconds();
  }

 private:
  using Key = std::pair<std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };

  void Write(const Key& key, const std::string& value, bool deleted) {
    rows_[key] = {value, ++version_, deleted};
    changed_.notify_all();
  }
  Json Meta() const {
    return {{"schema_version", version_},
            {"now_ms", static_cast<std::int64_t>(Seconds() * 1000)}};
  }
  static Json RowJson(const Key& key, const Row& row) {
    Json json{{"table", key.first},
              {"part", ""},
              {"key", key.second},
              {"value", EncodeBase64(row.value)},
              {"schema_version", row.version}};
    if (row.deleted)
      json["deleted"] = true;
    return json;
  }
  Json Changes(const std::string& table, std::uint64_t after) const {
    std::map<std::uint64_t, Json> changes;
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.version > after)
        changes[row.version] = RowJson(key, row);
    }
    Json list = Json::array();
    for (const auto& [version, row] : changes)
      list.push_back(row);
    return list;
  }
  bool Handle(Connection& connection, const Message& request) {
    const std::string path = request.path();
    Sleep(kStoreLatency);
    std::unique_lock lock(mutex_);
    int status = 200;
    Json body;
    if (path == "/bamboomount/rows-get") {
      body = Meta();
      body["rows"] = Json::array();
      for (const auto& [key, row] : rows_) {
        if (key.first == request.query("table") && !row.deleted)
          body["rows"].push_back(RowJson(key, row));
      }
      body["has_more"] = false;
    } else if (path == "/bamboomount/rows-feed") {
      const auto after = std::stoull(request.query("after"));
      const auto until =
          Clock::now() + Millis(std::stoll(request.query("wait_ms")));
      while (Changes(request.query("table"), after).empty() &&
             changed_.wait_until(lock, until) == std::cv_status::no_timeout &&
             !connection.PeerClosed()) {
      }
      body = Meta();
      body["rows"] = Changes(request.query("table"), after);
    } else if (path == "/bamboomount/rows-tx") {
      const Json call = Json::parse(request.body);
      bool holds = true;
      for (const Json& row : call.at("expected_revision")) {
        const auto found = rows_.find({row.at("table"), row.at("key")});
        const std::uint64_t version =
            found == rows_.end() || found->second.deleted
                ? 0
                : found->second.version;
        holds = holds &&
                version == row.at("schema_version").get<std::uint64_t>();
      }
      if (holds) {
        ++version_;
        for (const Json& row : call.at("writes"))
          rows_[{row.at("table"), row.at("key")}] = {
              DecodeBase64(row.at("value")), version_, false};
        for (const Json& row : call.at("remove"))
          rows_[{row.at("table"), row.at("key")}] = {"", version_, true};
        changed_.notify_all();
      }
      body = Meta();
      if (!holds) {
        status = 412;
        body["rows"] = Json::array();
      }
    } else if (path != "/usage" && path != "/scaling") {
      status = 404;
    }
    lock.unlock();
    return connection.Write(Reply(status, body.is_null() ? "" : body.dump()));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 1;
  Server server_;
};

// A backend server ("runner"). Turns requests for another instance away with
// 421 and answers all others with 200, a seal and the request's id, unless
// `answer` is set.
class Backend {
 public:
  struct Arrival {
    double at = 0;
    Message request;
    bool ran = false;
  };
  // Answers the request; returns false to close the connection.
  using Answer =
      std::function<bool(Backend&, Connection&, const Message& request)>;

  Backend(Record& record, std::string id, Answer answer = nullptr)
      : record_(record),
        id_(std::move(id)),
        answer_(std::move(answer)),
        server_([this](Connection& connection, const Message& request) {
          return Handle(connection, request);
        }) {}
  const std::string& id() const { return id_; }
  const std::string& address() const { return server_.address(); }
  std::string Row(const std::string& pool,
                  const std::string& state = "ready") const {
    return Json{{"service", pool},   {"address", address()},
                {"zone", "zone-a"},  {"version", "v1"},
                {"slots", 64},       {"state", state},
                {"cold_remaining_ms", 0}, {"sequence", 1},
                {"born", 1700000000000}}
        .dump();
  }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  void Stop() { server_.Stop(); }
  // Leaves the arrivals out of the record.
  void set_quiet() { quiet_ = true; }

  static std::vector<std::pair<std::string, std::string>> Headers(
      const Message& request) {
    const std::string id = request.header("x-bamboomount-request-id");
    return {{"X-Bamboomount-Request-Id", id},
            {"X-Bamboomount-Response-Seal", "seal-" + id},
            {"Keep-Alive", "timeout=5"}};
  }

 private:
  bool Handle(Connection& connection, const Message& request) {
    const std::string id = request.header("x-bamboomount-request-id");
    const bool runs =
        request.header("x-bamboomount-expected-instance") == id_;
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back({Seconds(), request, runs});
    }
    if (!quiet_ || !runs)
      record_.Line("server " + id_ + (runs ? " runs " : " rejects ") + id +
                 ": " + request.first_line + ", body " +
                 std::to_string(request.body.size()) + " bytes, tenant " +
                 request.header("x-bamboomount-tenant"));
    if (!runs)
      return connection.Write(Reply(421, "",
                                    {{"X-Bamboomount-Request-Id", id},
                                     {"X-Bamboomount-Not-Executed", "1"}}));
    if (answer_)
      return answer_(*this, connection, request);
    return connection.Write(Reply(200, "answer to " + id, Headers(request)));
  }

  Record& record_;
  const std::string id_;
  const Answer answer_;
  std::atomic<bool> quiet_ = false;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  Server server_;
};

inline Json Route(const std::string& prefix,
                  const std::string& kind,
                  const std::string& pool,
                  int target_ms,
                  int timeout_ms) {
  return {{"name", "r-" + prefix.substr(1, prefix.size() - 2)},
          {"host", "desk.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", target_ms},
          {"priority", 1},
          {"service", pool},
          {"attempts", 1},
          {"allow_anonymous", false},
          {"resume_streams", false}};
}

// A configuration with the routes /book/ and /upload/ (unsafe) and /lookup/
// (safe).
inline std::string Config() {
  Json lookup = Route("/lookup/", "safe", "app", 150, 4000);
  lookup["attempts"] = 2;
  return Json{{"version", 7},
              {"routes",
               {Route("/book/", "unsafe", "app", 150, 4000),
                Route("/upload/", "unsafe", "app", 1500, 30000), lookup}},
              {"services", {{{"name", "app"}, {"max_connections", 110}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants",
               {{{"name", "carver"}, {"api_keys", {"key-carver"}}},
                {{"name", "desk"}, {"api_keys", {"key-desk"}}}}}}
      .dump();
}

// An entry instance, started as the deploy file says.
class Entry {
 public:
  Entry(Record& record,
        const std::string& name,
        const std::string& folder,
        const std::string& store_address,
        int memory_mb = 260)
      : record_(record), name_(name), settings_(folder + "/" + name + ".json") {
    const Json settings{{"instance", name},
                        {"zone", "zone-a"},
                        {"region", "region-1"},
                        {"capacity", 0.25},
                        {"memory_mb", memory_mb},
                        {"caller_address", "127.0.0.1:0"},
                        {"readiness_address", "127.0.0.1:0"},
                        {"directory_address", "127.0.0.1:0"},
                        {"peer_address", "127.0.0.1:0"},
                        {"metrics_address", "127.0.0.1:0"},
                        {"store_address", store_address},
                        {"orders_address", store_address},
                        {"duties", {"usage_reporting", "scaling"}},
                        {"config_deadline_ms", 2000},
                        {"leaving_deadline_ms", 2000},
                        {"key_withdrawal_deadline_ms", 5000},
                        {"refuse_keys_when_stale", true},
                        {"stop_deadline_s", 8},
                        {"lease_ms", 3000},
                        {"usage_window_s", 5},
                        {"max_address_lifetime_s", 5},
                        {"retry_ratio", 0.2},
                        {"retry_slack", 58},
                        {"retry_window_s", 10}};
    std::ofstream(settings_) << settings.dump(1);
    Start();
  }
  const std::string& name() const { return name_; }
  const std::string& address() const { return address_; }
  void Signal(int number) {
    record_.Line("signal " + std::to_string(number) + " to " + name_);
    kill(process_, number);
  }
  void Kill() {
    record_.Line("kill " + name_);
    Children::Instance().End(process_);
  }
  // Whether the process has ended by itself. Thread-safe.
  bool HasEnded() {
    if (!has_ended_ && Children::Instance().HasEnded(process_, end_status_))
      has_ended_ = true;
    return has_ended_;
  }
  // How it ended.
  std::string DescribeEnd() const {
    return WIFSIGNALED(end_status_)
               ? "signal " + std::to_string(WTERMSIG(end_status_))
               : "exit code " + std::to_string(WEXITSTATUS(end_status_));
  }
  // From now on the process is killed when it holds more memory than `mb`.
  void LimitMemory(int mb) {
    std::thread([this, mb] {
      while (!HasEnded()) {
        const double held = HeldMemory();
        peak_mb_ = std::max(peak_mb_.load(), held);
        if (held > mb && !killed_) {
          killed_ = true;
          record_.Line("the platform kills " + name_ + ", which holds " +
                       std::to_string(static_cast<int>(held)) + " MB of " +
                       std::to_string(mb));
          kill(process_, SIGKILL);
        }
        Sleep(0.02);
      }
    }).detach();
  }
  int peak_mb() const { return static_cast<int>(peak_mb_); }
  // Log lines so far. Thread-safe.
  std::vector<std::string> log() {
    const std::lock_guard lock(mutex_);
    return log_;
  }
  bool IsReady() {
    auto connection = Connection::Open(readiness_address_);
    return connection &&
           connection->Write(
               "GET /bamboomount/readiness HTTP/1.1\r\nHost: a\r\n\r\n") &&
           connection->Read(1).status() == 200;
  }
  bool WaitUntilReady() {
    for (int i = 0; i < 100; ++i) {
      if (IsReady())
        return true;
      Sleep(0.1);
    }
    return false;
  }

 private:
  void Start() {
    int output[2];
    if (pipe(output) != 0)
      throw std::runtime_error("pipe");
    process_ = fork();
    if (process_ == 0) {
      // Ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(output[1], 1);
      for (int fd = 3; fd < 1024; ++fd)
        ::close(fd);
      setenv("BAMBOOMOUNT_SETTINGS", settings_.c_str(), 1);
      execl("target/bin/bamboomount_entry", "target/bin/bamboomount_entry",
            static_cast<char*>(nullptr));
      _exit(127);
    }
    Children::Instance().Add(process_);
    ::close(output[1]);
    std::thread([this, fd = output[0]] { ReadLog(fd); }).detach();
    for (int i = 0; i < 100 && address_.empty(); ++i) {
      Sleep(0.05);
      const std::lock_guard lock(mutex_);
      for (const std::string& line : log_) {
        const Json event = Json::parse(line, nullptr, false);
        if (!event.is_object() || event.value("name", "") != "gateway_started")
          continue;
        readiness_address_ = event.at("readiness");
        address_ = event.at("callers");
      }
    }
    record_.Line("instance " + name_ + " listens on " + address_);
  }
  // Resident memory in MB of 2^20 bytes.
  double HeldMemory() const {
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    double pages = 0;
    file >> pages >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
  }
  void ReadLog(int fd) {
    std::string buffer;
    char chunk[4096];
    ssize_t got;
    while ((got = read(fd, chunk, sizeof(chunk))) > 0) {
      buffer.append(chunk, static_cast<std::size_t>(got));
      std::size_t end;
      while ((end = buffer.find('\n')) != std::string::npos) {
        const std::lock_guard lock(mutex_);
        log_.push_back(buffer.substr(0, end));
        buffer.erase(0, end + 1);
      }
    }
    ::close(fd);
  }

  Record& record_;
  const std::string name_;
  const std::string settings_;
  pid_t process_ = -1;
  std::string address_;
  std::string readiness_address_;
  std::mutex mutex_;
  std::atomic<bool> has_ended_ = false;
  std::atomic<double> peak_mb_ = 0;
  std::atomic<bool> killed_ = false;
  int end_status_ = 0;
  std::vector<std::string> log_;
};

// A request of a client, with a fresh id.
struct ClientRequest {
  std::string id;
  std::string bytes;
};

inline ClientRequest MakeRequest(const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 int limit_ms = 4000,
                                 const std::string& framing = "") {
  static std::atomic<int> next{1};
  ClientRequest request;
  request.id = "c" + std::to_string(next++);
  request.bytes = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" +
                  "X-Bamboomount-Request-Id: " + request.id + "\r\n" +
                  "X-Bamboomount-Deadline-Milliseconds: " +
                  std::to_string(limit_ms) + "\r\nX-Api-Key: key-carver\r\n" +
                  (framing.empty() ? "Content-Length: " +
                                         std::to_string(body.size()) + "\r\n"
                                   : framing) +
                  "\r\n" + body;
  return request;
}

inline bool TroubleIsOn() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Runs `body` with a temporary folder and ends the process with its result.
inline int RunCase(const char* record_path,
                   const std::function<int(Record&, const std::string&)>& body) {
  signal(SIGPIPE, SIG_IGN);
  Record& record = Make<Record>(record_path);
  std::string folder = "/tmp/review-XXXXXX";
  if (!mkdtemp(folder.data()))
    return kCouldNotRun;
  int result = kCouldNotRun;
  try {
    result = body(record, folder);
  } catch (const std::exception& error) {
    record.Line(std::string("could not run: ") + error.what());
  }
  Children::Instance().EndAll();
  const std::string remove = "rm -rf '" + folder + "'";
  if (std::system(remove.c_str()) != 0)
    record.Line("the temporary folder remains");
  record.Line(result == kBroken ? "RESULT: the rule was broken"
              : result == kHeld ? "RESULT: the rule held"
                                : "RESULT: could not run");
  std::_Exit(result);
}

}  // namespace review

#endif  // REVIEW_SUPPORT_KIT_H_
