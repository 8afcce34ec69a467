#include <tclap/CmdLine.h>

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "engine/engine.h"

namespace {

// Adds the command line argument `name`, whose default is the current value of
// `target`. Store writes the parsed value to `target`.
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
  TCLAP::CmdLine command("Simulated model engine for tests.");
  Option listen(command, options.listen, "listen",
                "Address to listen on, ip:port");
  Option model(command, options.model, "model", "Name of the model");
  Option slots(command, options.slots, "slots",
               "Maximum number of running requests");
  Option queue(command, options.queue_limit, "queue",
               "Maximum number of waiting requests");
  Option batch(command, options.batch, "batch",
               "Running requests above which the token rate of each falls");
  Option pace(command, options.tokens_per_second, "pace",
              "Tokens per second of one stream");
  Option first(command, options.first_token_us, "first-token-us",
               "Time to first token of a cached prompt, in microseconds");
  Option word(command, options.prompt_word_us, "prompt-word-us",
              "Additional time per uncached prompt word, in microseconds");
  Option blocks(command, options.cache_blocks, "cache-blocks",
                "Capacity of the prefix cache in blocks of 16 words");
  Option tokens(command, options.default_tokens, "default-tokens",
                "Tokens generated for a request without max_tokens");
  Option load_lag(command, options.load_lag_ms, "load-lag-ms",
                  "Maximum age of the /load values, in milliseconds");
  Option event_lag(command, options.event_lag_ms, "event-lag-ms",
                   "Delay of /cache-events, in milliseconds");
  Option event_gap(command, options.event_gap, "event-gap",
                   "Loses every n-th cache event; 0 loses none");
  Option version(command, options.version, "engine-version",
                 "Version of the engine's software; empty states none");
  TCLAP::SwitchArg ignore("", "ignore-expected-version",
                          "Run requests for another version", command);
  TCLAP::SwitchArg check("", "check-fencing",
                         "Refuse orders with a stale fencing token", command);
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
  version.Store();
  options.ignore_expected_version = ignore.getValue();
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
