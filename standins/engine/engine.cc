#include "engine/engine.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdlib>

#include "engine/chat_reply.h"
#include "support/json_text.h"

namespace standin {
namespace {

namespace asio = boost::asio;

// How often a frozen request checks whether the freeze was cleared.
constexpr std::chrono::milliseconds kFreezePollInterval{10};

HttpReply MakeErrorReply(int status, const std::string& message) {
  HttpReply reply;
  reply.status = status;
  reply.body = ToText({{"error", {{"message", message}}}});
  return reply;
}

HttpReply StreamHead(const ChatRequest& chat) {
  HttpReply head;
  head.content_type = "text/event-stream";
  head.headers.emplace_back("X-Request-Id", chat.request_id);
  return head;
}

std::int64_t ParseNumber(const std::string& text) {
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

// Registers a generation for cancellation by its request id. The destructor
// removes the entry.
class Engine::Registration {
 public:
  Registration(std::multimap<std::string, Generation*>& list, Generation& entry)
      : list_(list), position_(list.emplace(entry.chat.request_id, &entry)) {}
  ~Registration() { list_.erase(position_); }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  std::multimap<std::string, Generation*>& list_;
  std::multimap<std::string, Generation*>::iterator position_;
};

Engine::Engine(asio::io_context& io,
               FaultSwitches& faults,
               EngineOptions options)
    : io_(io),
      faults_(faults),
      options_(std::move(options)),
      slots_(io, options_.slots),
      cache_(static_cast<std::size_t>(options_.cache_blocks),
             options_.event_gap),
      orders_(options_.check_fencing) {}

asio::awaitable<void> Engine::Handle(Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.path();
  if (path == "/v1/chat/completions" && request.method == "POST") {
    co_await HandleChatCompletion(exchange);
    co_return;
  }
  while (faults_.current().freeze && path != "/faults" && path != "/seen") {
    co_await exchange.Wait(kFreezePollInterval.count());
  }
  HttpReply reply = HandleControlRequest(request);
  co_await exchange.Reply(std::move(reply));
}

HttpReply Engine::HandleControlRequest(const HttpRequest& request) {
  const std::string path = request.path();
  const bool is_post = request.method == "POST";
  HttpReply reply;
  if (path == "/faults" && is_post) {
    const std::string error = faults_.Set(request.body);
    return error.empty() ? reply : MakeErrorReply(400, error);
  }
  if (path == "/seen") {
    reply.body = seen_.ToJson();
    return reply;
  }
  seen_.Add(request);
  if (path == "/load") {
    return LoadReply();
  }
  if (path == "/cancel" && is_post) {
    return CancelGenerations(request.query("request_id"));
  }
  if (path == "/cache-events") {
    reply.body =
        cache_.EventsJson(ParseNumber(request.query("after")),
                          std::chrono::milliseconds(options_.event_lag_ms));
    return reply;
  }
  if (path == "/orders") {
    return is_post ? orders_.Submit(request.body) : orders_.List();
  }
  return MakeErrorReply(404, "no such path");
}

HttpReply Engine::CancelGenerations(const std::string& request_id) {
  const auto [first, last] = generations_.equal_range(request_id);
  for (auto it = first; it != last; ++it) {
    it->second->cancelled = true;
  }
  HttpReply reply;
  reply.body = ToText({{"cancelled", first != last}});
  return reply;
}

HttpReply Engine::LoadReply() const {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - load_.time);
  HttpReply reply;
  reply.body = ToText({{"running", load_.running},
                       {"waiting", load_.waiting},
                       {"slots", slots_.slots()},
                       {"tokens_per_second", load_.tokens_per_second},
                       {"leaving", load_.leaving},
                       {"age_ms", age.count()}});
  return reply;
}

asio::awaitable<void> Engine::SampleLoad() {
  while (true) {
    const Clock::time_point now = Clock::now();
    const double seconds =
        std::chrono::duration<double>(now - load_.time).count();
    const double rate =
        seconds > 0
            ? static_cast<double>(tokens_generated_ - load_.tokens_generated) /
                  seconds
            : 0;
    load_ = {now,  tokens_generated_,        slots_.running(), slots_.waiting(),
             rate, faults_.current().leaving};
    asio::steady_timer timer(io_,
                             std::chrono::milliseconds(options_.load_lag_ms));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> Engine::HandleChatCompletion(Exchange& exchange) {
  seen_.Add(exchange.request());
  const Faults faults = faults_.Take();
  const std::optional<ChatRequest> chat = ParseChatRequest(exchange.request());
  HttpReply refusal;
  if (!chat) {
    refusal = MakeErrorReply(400, "not a chat completion request");
  } else if (faults.refuse) {
    refusal = MakeErrorReply(503, "refused by a fault switch");
  } else if (IsForAnotherVersion(*chat)) {
    refusal = MakeErrorReply(409, "another version is expected");
  } else if (slots_.waiting() >= options_.queue_limit) {
    refusal = MakeErrorReply(503, "queue is full");
  } else {
    Generation generation;
    generation.chat = *chat;
    generation.faults = faults;
    if (faults.cross_answers && !previous_chat_.prompt.empty()) {
      generation.chat.prompt = previous_chat_.prompt;
      generation.chat.request_id = previous_chat_.request_id;
    }
    previous_chat_ = *chat;
    generation.total_tokens = std::max<std::int64_t>(
        0, chat->max_tokens.value_or(options_.default_tokens));
    co_await Generate(exchange, generation);
    co_return;
  }
  refusal.headers.emplace_back("X-Request-Id",
                               exchange.request().header("X-Request-Id"));
  AddVersion(refusal);
  co_await exchange.Reply(std::move(refusal));
}

bool Engine::IsForAnotherVersion(const ChatRequest& chat) const {
  return !options_.ignore_expected_version && !chat.expected_version.empty() &&
         chat.expected_version != options_.version;
}

void Engine::AddVersion(HttpReply& reply) const {
  if (!options_.version.empty())
    reply.headers.emplace_back("X-Engine-Version", options_.version);
}

asio::awaitable<void> Engine::Generate(Exchange& exchange,
                                       Generation& generation) {
  const Registration registration(generations_, generation);
  if (generation.faults.delay_ms > 0) {
    co_await exchange.Wait(generation.faults.delay_ms);
  }
  std::function<bool()> is_cancelled = [&exchange, &generation] {
    return generation.cancelled || exchange.is_disconnected();
  };
  if (!co_await slots_.Acquire(generation.chat.tier, is_cancelled)) {
    exchange.Close(false);
    co_return;
  }
  struct SlotHolder {
    SlotQueue& slots;
    ~SlotHolder() { slots.Release(); }
  };
  const SlotHolder holder{slots_};
  if (generation.chat.stream) {
    co_await StreamCompletion(exchange, generation);
  } else {
    co_await SendCompletion(exchange, generation);
  }
}

asio::awaitable<void> Engine::StreamCompletion(Exchange& exchange,
                                               Generation& generation) {
  const int answers = generation.faults.answer_twice ? 2 : 1;
  if (generation.faults.late_ms > 0) {
    co_await exchange.Wait(generation.faults.late_ms);
  }
  for (int answer = 0; answer < answers && !exchange.is_closed(); ++answer) {
    HttpReply head = StreamHead(generation.chat);
    AddVersion(head);
    co_await exchange.StartStream(std::move(head));
    co_await StreamTokens(exchange, generation);
  }
}

asio::awaitable<void> Engine::StreamTokens(Exchange& exchange,
                                           Generation& generation) {
  const Faults& faults = generation.faults;
  Clock::time_point due = Clock::now() + FirstTokenDelay(generation);
  std::int64_t sent = 0;
  for (std::int64_t index = generation.chat.resume_offset;; ++index, ++sent) {
    if (sent == faults.crash_after_tokens && faults.crash_process) {
      std::_Exit(1);
    }
    if (sent == faults.crash_after_tokens ||
        sent == faults.close_after_tokens) {
      exchange.Close(sent == faults.crash_after_tokens);
      co_return;
    }
    if (sent == faults.truncate_after_tokens) {
      co_await exchange.EndStream();
      co_return;
    }
    if (index >= generation.total_tokens) {
      break;
    }
    if (!co_await WaitUntil(due, exchange, generation)) {
      exchange.Close(false);
      co_return;
    }
    std::string event = TokenEvent(generation.chat, index);
    co_await exchange.WriteChunk(std::move(event));
    ++tokens_generated_;
    due += TokenInterval();
  }
  std::string last = FinalEvents(generation.chat, generation.total_tokens);
  co_await exchange.WriteChunk(std::move(last));
  co_await exchange.EndStream();
}

asio::awaitable<void> Engine::SendCompletion(Exchange& exchange,
                                             Generation& generation) {
  Clock::time_point due = Clock::now() + FirstTokenDelay(generation);
  for (std::int64_t index = generation.chat.resume_offset;
       index < generation.total_tokens; ++index) {
    if (!co_await WaitUntil(due, exchange, generation)) {
      exchange.Close(false);
      co_return;
    }
    ++tokens_generated_;
    due += TokenInterval();
  }
  HttpReply reply;
  reply.headers.emplace_back("X-Request-Id", generation.chat.request_id);
  AddVersion(reply);
  reply.body = CompletionBody(generation.chat, generation.total_tokens);
  co_await exchange.ReplyWithFaults(std::move(reply), generation.faults);
}

asio::awaitable<bool> Engine::WaitUntil(Clock::time_point due,
                                        Exchange& exchange,
                                        const Generation& generation) {
  asio::steady_timer timer(io_, due);
  co_await timer.async_wait(asio::use_awaitable);
  while (faults_.current().freeze) {
    timer.expires_after(kFreezePollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return !generation.cancelled && !exchange.is_disconnected();
}

Engine::Clock::duration Engine::FirstTokenDelay(const Generation& generation) {
  const std::string& prompt = generation.chat.prompt;
  const std::int64_t uncached =
      CountWords(prompt) - cache_.LookUpAndInsert(prompt);
  return std::chrono::microseconds(options_.first_token_us +
                                   options_.prompt_word_us * uncached) *
         faults_.current().slow_factor;
}

Engine::Clock::duration Engine::TokenInterval() const {
  const double oversubscription =
      std::max(1.0, static_cast<double>(slots_.running()) / options_.batch);
  const double seconds = oversubscription / options_.tokens_per_second *
                         static_cast<double>(faults_.current().slow_factor);
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace standin
