#include <rapidcheck.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <sstream>

#include "config/config.h"

namespace bamboomount {
namespace {

std::string ReadSourceFile(const std::string& name) {
  std::ifstream file(std::string(BAMBOOMOUNT_SOURCE_DIR) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Example() {
  static const std::string text =
      ReadSourceFile("examples/futternetz/service.jsonc");
  return text;
}

// The example with the first `from` replaced by `to`.
std::string ExampleWith(const std::string& from, const std::string& to) {
  std::string text = Example();
  const std::size_t at = text.find(from);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
  return text.replace(at, from.size(), to);
}

std::string Describe(const std::vector<ConfigError>& errors) {
  std::ostringstream out;
  for (const ConfigError& error : errors)
    out << error.line << ":" << error.column << " " << error.message << "\n";
  return out.str();
}

long CountLineBreaks(const std::string& text) {
  return std::count(text.begin(), text.end(), '\n');
}

bool Mentions(const std::vector<ConfigError>& errors, const std::string& text) {
  return std::any_of(errors.begin(), errors.end(), [&](const auto& error) {
    return error.message.find(text) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(service_config_reader)

// Guards against examples that new operators copy and that do not load.
BOOST_AUTO_TEST_CASE(both_examples_load_without_errors) {
  for (const char* name : {"examples/futternetz/service.jsonc",
                           "examples/commission-desk/service.jsonc"}) {
    const auto reading = ReadServiceConfig(ReadSourceFile(name));
    BOOST_TEST(Describe(reading.errors) == "");
    BOOST_TEST(reading.config.customers.size() == 10U);
  }
  const auto reading = ReadServiceConfig(Example());
  const auto* live_chat = reading.config.FindClass(ClassId("live-chat"));
  BOOST_REQUIRE(live_chat != nullptr);
  BOOST_TEST(live_chat->first_token_target.count() == 400);
  BOOST_TEST(reading.config.BackendsOf(PoolId("futter-modell")).size() == 10U);
  BOOST_TEST(!reading.config.FindRoute("/v1/registrations")->repeatable);
  BOOST_TEST(reading.config.Limit("address_ttl_s") == 5);
}

struct FaultCase {
  std::string from;
  std::string to;
  std::string message;
};

// Each case is a slip that would otherwise reach the routers unseen.
BOOST_AUTO_TEST_CASE(each_kind_of_fault_is_reported) {
  const std::vector<FaultCase> cases = {
      {" // AEBI: a stalled", " a stalled", "only one rule"},
      {" // AEBI: a stalled reply is the worst case for kennels", "",
       "needs a comment"},
      {"// AEBI: a stalled reply is the worst case for kennels",
       "// AEBI:", "needs a comment"},
      {"// AEBI: a stalled reply is the worst case for kennels", "// : why",
       "needs a comment"},
      {"\"tier\":0", "\"teir\":0", "unknown field \"teir\""},
      {"\"tier\":0", "\"teir\":0", "\"tier\" is missing"},
      {"\"tier\":0", "\"tier\":\"0\"", "must be a whole number"},
      {"\"tier\":0", "\"tier\":0.5", "must be a whole number"},
      {"\"tier\":0", "\"tier\":64", "must lie from 0 to 63"},
      {"\"tier\":0", "\"tier\":0,\"tier\":1", "given twice"},
      {"\"tier\":0", "\"tier\":0,", "syntax error"},
      {"\"class\":\"registration\",\"tier\"",
       "\"class\":\"live-chat\",\"tier\"", "given before, on line"},
      {"\"zone\":\"bern-a\",\"pool\"", "\"zone\":\"bern-x\",\"pool\"",
       "unknown zone \"bern-x\""},
      {"\"pool\":\"futter-modell\",\"kind\":\"firm\"",
       "\"pool\":\"futter\",\"kind\":\"firm\"", "unknown pool \"futter\""},
      {"\"class\":\"registration\",\"pool\"", "\"class\":\"reg\",\"pool\"",
       "unknown class \"reg\""},
      {"\"classes\":[\"live-chat\"", "\"classes\":[\"chat\"",
       "unknown class \"chat\""},
      {"127.0.0.1:9001", "127.0.0.1:99999", "with a port from 1"},
      {"127.0.0.1:9001", "127.0.0.1:9002", "given before"},
      {"retry_budget_percent\",\"value\":10",
       "retry_budget_percent\",\"value\":101",
       "must lie from 0 to 100 percent"},
      {"retry_budget_percent", "retry_budget", "unknown limit"},
      {"\"kind\":\"firm\"", "\"kind\":\"firn\"", "\"firm\" or \"cheap\""},
      {"\"open\":true", "\"open\":1", "must be true or false"},
      {"\"open\":false,\"repeatable\":false",
       "\"open\":true,\"repeatable\":false", "cannot be open"},
      {"\"limits\"", "\"limit\"", "unknown array \"limit\""},
      {"\"limits\"", "\"limit\"", "array \"limits\" is missing"},
  };
  for (const FaultCase& fault : cases) {
    BOOST_TEST_CONTEXT(fault.to) {
      const auto reading = ReadServiceConfig(ExampleWith(fault.from, fault.to));
      BOOST_TEST(Mentions(reading.errors, fault.message),
                 Describe(reading.errors));
    }
  }
}

// A reader that stops at the first fault makes operators apply one repair
// after the other while traffic waits.
BOOST_AUTO_TEST_CASE(all_faults_of_a_text_are_reported_at_once) {
  std::string text = ExampleWith("\"tier\":0", "\"tier\":-1");
  for (const auto& [from, to] :
       {std::pair("127.0.0.1:9003", "here"),
        std::pair("\"share\":3", "\"share\":}"),
        std::pair(" // KELLER: member mill", ""),
        std::pair("{\"zone\":\"zug-a\"", "{\"zone\":\n\"zug-a\"")}) {
    text.replace(text.find(from), std::string_view(from).size(), to);
  }
  const auto reading = ReadServiceConfig(text);
  for (const char* message :
       {"must lie from 0 to 63", "ip:port", "syntax error", "needs a comment",
        "must begin and end on one line"})
    BOOST_TEST(Mentions(reading.errors, message), Describe(reading.errors));
}

// A wrong position sends the operator to the wrong rule.
BOOST_AUTO_TEST_CASE(line_and_column_point_at_the_value) {
  const std::string text = ExampleWith("\"tier\":0", "\"tier\":99");
  const std::size_t at = text.find("99");
  const auto line = 1 + CountLineBreaks(text.substr(0, at));
  const auto column = at - text.rfind('\n', at);
  const auto reading = ReadServiceConfig(text);
  BOOST_REQUIRE(reading.errors.size() == 1U);
  BOOST_TEST(reading.errors[0].line == line);
  BOOST_TEST(reading.errors[0].column == static_cast<int>(column));
}

// A text typed or pasted wrongly must never bring a router down.
BOOST_AUTO_TEST_CASE(mutated_texts_never_crash_and_name_a_line_for_each_fault) {
  BOOST_TEST(rc::check([] {
    std::string text = Example();
    const int edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto removed = *rc::gen::inRange<std::size_t>(0, 40);
      const auto added = *rc::gen::container<std::string>(
          rc::gen::oneOf(rc::gen::elementOf(std::string("{}[],:\"\n/*\\ 0-e")),
                         rc::gen::arbitrary<char>()));
      text.replace(at, removed, added);
    }
    const auto reading = ReadServiceConfig(text);
    const auto lines = CountLineBreaks(text) + 1;
    for (const ConfigError& error : reading.errors) {
      RC_ASSERT(error.line >= 1);
      RC_ASSERT(error.line <= lines);
      RC_ASSERT(!error.message.empty());
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(process_settings)

// Guards against an instance that starts with half of its settings.
BOOST_AUTO_TEST_CASE(examples_are_read_and_faults_reported_at_once) {
  for (const char* name : {"examples/futternetz/settings.jsonc",
                           "examples/commission-desk/settings.jsonc"})
    BOOST_TEST(Describe(ReadProcessSettings(ReadSourceFile(name)).errors) ==
               "");
  const auto reading = ReadProcessSettings(
      "{\"instance\":\"fn 1\",\n\"threads\":0,\n\"colour\":1,\n"
      "\"tls_key\":\"k.pem\"}");
  const std::string errors = Describe(reading.errors);
  for (const char* part :
       {"1:13 field \"instance\"", "2:11 field \"threads\"", "3:1 unknown",
        "\"zone\" is missing", "set together"})
    BOOST_TEST(errors.find(part) != std::string::npos, errors);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
