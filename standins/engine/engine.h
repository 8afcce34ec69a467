#ifndef ENGINE_ENGINE_H_
#define ENGINE_ENGINE_H_

#include <chrono>
#include <map>
#include <string>

#include "engine/chat_request.h"
#include "engine/engine_options.h"
#include "engine/order_log.h"
#include "engine/prefix_cache.h"
#include "engine/slot_queue.h"
#include "support/http_server.h"
#include "support/seen_log.h"

namespace standin {

// A simulated model engine that generates deterministic tokens at a configured
// rate. Runs on the thread of `io`; not thread-safe.
class Engine {
 public:
  Engine(boost::asio::io_context& io,
         FaultSwitches& faults,
         EngineOptions options);

  // Serves one request. Throws boost::system::system_error if the connection is
  // closed while the response is written.
  boost::asio::awaitable<void> Handle(Exchange& exchange);
  // Refreshes the values of /load every load_lag_ms; runs until the process
  // exits.
  boost::asio::awaitable<void> SampleLoad();

 private:
  using Clock = std::chrono::steady_clock;

  // A chat completion that waits for a slot or is being generated.
  struct Generation {
    ChatRequest chat;
    Faults faults;
    std::int64_t total_tokens = 0;
    bool cancelled = false;
  };
  class Registration;

  HttpReply HandleControlRequest(const HttpRequest& request);
  HttpReply CancelGenerations(const std::string& request_id);
  HttpReply LoadReply() const;
  boost::asio::awaitable<void> HandleChatCompletion(Exchange& exchange);
  bool IsForAnotherVersion(const ChatRequest& chat) const;
  // States the version of this engine in `reply`.
  void AddVersion(HttpReply& reply) const;
  boost::asio::awaitable<void> Generate(Exchange& exchange,
                                        Generation& generation);
  boost::asio::awaitable<void> StreamCompletion(Exchange& exchange,
                                                Generation& generation);
  boost::asio::awaitable<void> StreamTokens(Exchange& exchange,
                                            Generation& generation);
  boost::asio::awaitable<void> SendCompletion(Exchange& exchange,
                                              Generation& generation);
  // Waits until `due`, and longer while the freeze fault is set. Returns false
  // if the request was cancelled or its caller has disconnected.
  boost::asio::awaitable<bool> WaitUntil(Clock::time_point due,
                                         Exchange& exchange,
                                         const Generation& generation);
  // Time to first token, by the number of prompt words that are not cached.
  // Adds the prompt to the prefix cache.
  Clock::duration FirstTokenDelay(const Generation& generation);
  // Time between two tokens of a stream at the current number of running
  // requests.
  Clock::duration TokenInterval() const;

  boost::asio::io_context& io_;
  FaultSwitches& faults_;
  const EngineOptions options_;
  SlotQueue slots_;
  PrefixCache cache_;
  OrderLog orders_;
  SeenLog seen_;
  // By request id.
  std::multimap<std::string, Generation*> generations_;
  // Used by the fault cross_answers.
  ChatRequest previous_chat_;
  std::int64_t tokens_generated_ = 0;

  // Values that /load reports until the next sample.
  struct LoadSample {
    Clock::time_point time = Clock::now();
    std::int64_t tokens_generated = 0;
    int running = 0;
    int waiting = 0;
    double tokens_per_second = 0;
    bool leaving = false;
  };
  LoadSample load_;
};

}  // namespace standin

#endif  // ENGINE_ENGINE_H_
