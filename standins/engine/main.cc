#include <tclap/CmdLine.h>

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "engine/engine.h"

namespace {

// Adds the argument `name` with the present value of `target` as default, and
// stores the parsed value there.
template <typename Value>
class Option {
 public:
  Option(TCLAP::CmdLine& command,
         Value& target,
         const std::string& name,
         const std::string& description)
      : target_(target),
        argument_("", name, description, false, target, "value", command) {}
  void Store() { target_ = argument_.getValue(); }

 private:
  Value& target_;
  TCLAP::ValueArg<Value> argument_;
};

standin::EngineOptions ReadOptions(int argc, char** argv) {
  standin::EngineOptions options;
  TCLAP::CmdLine command("Stand-in for a model engine.");
  Option listen(command, options.listen, "listen", "Address ip:port");
  Option model(command, options.model, "model", "Name of the model");
  Option slots(command, options.slots, "slots", "Requests that run at once");
  Option queue(command, options.queue_limit, "queue", "Requests that may wait");
  Option batch(command, options.batch, "batch",
               "Running requests beyond which the pace falls");
  Option pace(command, options.tokens_per_second, "pace",
              "Tokens per second of a stream");
  Option first(command, options.first_token_us, "first-token-us",
               "Time to first token of a cached prompt, microseconds");
  Option word(command, options.prompt_word_us, "prompt-word-us",
              "Added time for each uncached prompt word, microseconds");
  Option blocks(command, options.cache_blocks, "cache-blocks",
                "Size of the prefix cache in blocks of 16 words");
  Option tokens(command, options.default_tokens, "default-tokens",
                "Tokens of an answer without max_tokens");
  Option load_lag(command, options.load_lag_ms, "load-lag-ms",
                  "Highest age of /load figures, milliseconds");
  Option event_lag(command, options.event_lag_ms, "event-lag-ms",
                   "Delay of /cache-events, milliseconds");
  Option event_gap(command, options.event_gap, "event-gap",
                   "Every so many cache events one is left out; 0 for none");
  TCLAP::SwitchArg check("", "check-fencing",
                         "Refuse orders with an old fencing token", command);
  command.parse(argc, argv);
  listen.Store();
  model.Store();
  slots.Store();
  queue.Store();
  batch.Store();
  pace.Store();
  first.Store();
  word.Store();
  blocks.Store();
  tokens.Store();
  load_lag.Store();
  event_lag.Store();
  event_gap.Store();
  options.check_fencing = check.getValue();
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const standin::EngineOptions options = ReadOptions(argc, argv);
  boost::asio::io_context io(1);
  standin::FaultSwitches faults;
  standin::Engine engine(io, faults, options);
  standin::HttpServer server(io, options.listen, faults,
                             [&engine](standin::Exchange& exchange) {
                               return engine.Handle(exchange);
                             });
  server.Start();
  boost::asio::co_spawn(io, engine.SampleLoad(), boost::asio::detached);
  standin::RunUntilSignal(io, server.address());
}
