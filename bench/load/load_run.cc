#include "load/load_run.h"

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>

#include "load/resident_memory.h"

namespace bamboomount {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// A request that receives no data for this long counts as failed.
constexpr std::chrono::seconds kReadTimeout{30};
// The starts of streams are spread over this time. Streams that start together
// would deliver their tokens simultaneously, and queuing in the load tool
// itself would distort the results.
constexpr std::chrono::microseconds kStartStagger{100000};
// Parsed bytes of a stream are discarded once they exceed this size.
constexpr std::size_t kMaxParsedBytes = 65536;

tcp::endpoint ToEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::int64_t MicrosBetween(Clock::time_point start, Clock::time_point end) {
  return std::chrono::duration_cast<std::chrono::microseconds>(end - start)
      .count();
}

// Returns the engine's timestamp in a chunk, in microseconds; 0 if it has none.
std::int64_t SentMicros(std::string_view event) {
  static constexpr std::string_view kField = "\"sent_us\":";
  const std::size_t at = event.find(kField);
  std::int64_t value = 0;
  if (at != std::string_view::npos) {
    const char* start = event.data() + at + kField.size();
    std::from_chars(start, event.data() + event.size(), value);
  }
  return value;
}

// Barrier that opens once `count` callers have arrived, so that memory is
// measured while all connections are in the same state.
class Barrier {
 public:
  Barrier(asio::io_context& io, int count) : timer_(io), pending_(count) {
    timer_.expires_at(Clock::time_point::max());
  }
  void Arrive() {
    if (--pending_ == 0) {
      timer_.cancel();
    }
  }
  asio::awaitable<void> Wait() {
    if (pending_ > 0) {
      boost::system::error_code ignored;
      co_await timer_.async_wait(asio::redirect_error(use_awaitable, ignored));
    }
  }

 private:
  asio::steady_timer timer_;
  int pending_;
};

class LoadRun {
 public:
  LoadRun(const LoadOptions& options,
          const LoadTarget& target,
          int level,
          LoadResult& result)
      : options_(options),
        target_(target),
        level_(level),
        result_(result),
        io_(1),
        idle_barrier_(io_, level),
        streaming_barrier_(io_, level) {}

  void Execute() {
    baseline_memory_bytes_ = target_.pid > 0 ? ResidentBytes(target_.pid) : -1;
    const Clock::time_point start = Clock::now();
    for (int caller = 0; caller < level_; ++caller) {
      asio::co_spawn(io_, RunCaller(caller), asio::detached);
    }
    asio::co_spawn(io_, MeasureMemory(), asio::detached);
    io_.run();
    result_.seconds +=
        std::chrono::duration<double>(Clock::now() - start).count();
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : stream(io) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  asio::awaitable<void> RunCaller(int caller) {
    bool idle_reported = false;
    bool running_reported = false;
    Connection connection(io_);
    for (int number = 0; number < options_.requests; ++number) {
      try {
        if (!connection.stream.socket().is_open()) {
          co_await Connect(connection);
        }
        if (!std::exchange(idle_reported, true)) {
          idle_barrier_.Arrive();
          co_await idle_barrier_.Wait();
          co_await StaggerStart(caller);
        }
        if (options_.kind == LoadKind::kStreams) {
          co_await RunStream(connection, caller, number, running_reported);
        } else {
          co_await RunShortCall(connection, number);
        }
      } catch (const boost::system::system_error& error) {
        RecordFailure(error.what());
        connection.stream.close();
        connection.buffer.clear();
      }
    }
    if (!idle_reported) {
      idle_barrier_.Arrive();
    }
    if (!running_reported) {
      streaming_barrier_.Arrive();
    }
  }

  asio::awaitable<void> StaggerStart(int caller) {
    if (options_.kind == LoadKind::kStreams) {
      asio::steady_timer timer(io_, kStartStagger * caller / level_);
      co_await timer.async_wait(use_awaitable);
    }
  }

  asio::awaitable<void> Connect(Connection& connection) {
    connection.stream.expires_after(kReadTimeout);
    const tcp::endpoint endpoint = ToEndpoint(target_.address);
    co_await connection.stream.async_connect(endpoint, use_awaitable);
    connection.stream.socket().set_option(tcp::no_delay(true));
    // A response shows that the server has accepted the connection.
    http::request<http::string_body> request(http::verb::get, "/healthz", 11);
    request.set(http::field::host, target_.address);
    co_await http::async_write(connection.stream, request, use_awaitable);
    http::response<http::string_body> response;
    co_await http::async_read(connection.stream, connection.buffer, response,
                              use_awaitable);
  }

  http::request<http::string_body> NewRequest(const std::string& path,
                                              std::string body) {
    http::request<http::string_body> request(http::verb::post, path, 11);
    request.set(http::field::host, target_.address);
    request.set(http::field::content_type, "application/json");
    if (!target_.key.empty()) {
      request.set(http::field::authorization, "Bearer " + target_.key);
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
  }

  asio::awaitable<void> RunShortCall(Connection& connection, int number) {
    connection.stream.expires_after(kReadTimeout);
    http::request<http::string_body> request = NewRequest(
        options_.path, "{\"number\":" + std::to_string(number) + "}");
    const Clock::time_point start = Clock::now();
    co_await http::async_write(connection.stream, request, use_awaitable);
    http::response<http::string_body> response;
    co_await http::async_read(connection.stream, connection.buffer, response,
                              use_awaitable);
    RecordResponse(response, start);
  }

  asio::awaitable<void> RunStream(Connection& connection,
                                  int caller,
                                  int number,
                                  bool& running_reported) {
    connection.stream.expires_after(kReadTimeout);
    const nlohmann::json message = {
        {"role", "user"},
        {"content",
         "load " + std::to_string(caller) + " " + std::to_string(number)}};
    const nlohmann::json body = {
        {"model", options_.model},
        {"stream", true},
        {"max_tokens", options_.tokens},
        {"messages", nlohmann::json::array({message})}};
    http::request<http::string_body> request =
        NewRequest("/v1/chat/completions", body.dump());
    const Clock::time_point start = Clock::now();
    co_await http::async_write(connection.stream, request, use_awaitable);
    http::response_parser<http::string_body> parser;
    co_await http::async_read_header(connection.stream, connection.buffer,
                                     parser, use_awaitable);
    int tokens = 0;
    bool done = false;
    std::size_t parsed = 0;
    Clock::time_point previous = start;
    while (!parser.is_done()) {
      connection.stream.expires_after(kReadTimeout);
      co_await http::async_read_some(connection.stream, connection.buffer,
                                     parser, use_awaitable);
      const Clock::time_point now = Clock::now();
      std::string& text = parser.get().body();
      for (std::size_t end = text.find("\n\n", parsed);
           end != std::string::npos; end = text.find("\n\n", parsed)) {
        const std::string_view event(text.data() + parsed, end - parsed);
        parsed = end + 2;
        done = done || event == "data: [DONE]";
        if (event.find("\"content\"") == std::string_view::npos) {
          continue;
        }
        RecordToken(event, tokens++, previous, now);
        previous = now;
        if (!std::exchange(running_reported, true)) {
          streaming_barrier_.Arrive();
        }
      }
      if (parsed > kMaxParsedBytes) {
        text.erase(0, parsed);
        parsed = 0;
      }
    }
    if (parser.get().result() == http::status::ok &&
        (!done || tokens != options_.tokens)) {
      RecordFailure("incomplete stream with " + std::to_string(tokens) +
                    " tokens");
      co_return;
    }
    RecordResponse(parser.get(), start);
  }

  void RecordToken(std::string_view event,
                   int index,
                   Clock::time_point previous,
                   Clock::time_point now) {
    Samples& samples =
        index == 0 ? result_.first_token : result_.between_tokens;
    samples.Add(MicrosBetween(previous, now));
    const std::int64_t sent = SentMicros(event);
    if (sent > 0) {
      result_.token_passing.Add(MicrosBetween(Clock::time_point(), now) - sent);
    }
  }

  void RecordResponse(const http::response<http::string_body>& response,
                      Clock::time_point start) {
    if (response.result() != http::status::ok) {
      RecordFailure("status " + std::to_string(response.result_int()) + " " +
                    response.body().substr(0, 200));
      return;
    }
    result_.requests.Add(MicrosBetween(start, Clock::now()));
  }

  void RecordFailure(const std::string& reason) {
    if (result_.failures++ == 0) {
      result_.first_failure = reason;
    }
  }

  asio::awaitable<void> MeasureMemory() {
    co_await idle_barrier_.Wait();
    result_.bytes_per_idle_connection = std::max(
        result_.bytes_per_idle_connection, MemoryGrowthPerConnection());
    co_await streaming_barrier_.Wait();
    result_.bytes_per_running_stream =
        std::max(result_.bytes_per_running_stream, MemoryGrowthPerConnection());
  }

  double MemoryGrowthPerConnection() const {
    if (baseline_memory_bytes_ < 0) {
      return -1;
    }
    return static_cast<double>(ResidentBytes(target_.pid) -
                               baseline_memory_bytes_) /
           level_;
  }

  const LoadOptions& options_;
  const LoadTarget& target_;
  const int level_;
  LoadResult& result_;
  asio::io_context io_;
  Barrier idle_barrier_;
  Barrier streaming_barrier_;
  std::int64_t baseline_memory_bytes_ = -1;
};

}  // namespace

bool IsLoopback(const std::string& address) {
  try {
    return ToEndpoint(address).address().is_loopback();
  } catch (const std::exception&) {
    return false;
  }
}

void RunLoad(const LoadOptions& options,
             const LoadTarget& target,
             int level,
             LoadResult& result) {
  LoadRun(options, target, level, result).Execute();
}

}  // namespace bamboomount
