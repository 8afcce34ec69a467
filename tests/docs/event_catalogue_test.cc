#include <array>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "../../apps/bamboomountd/events.h"
#include "admin/events.h"
#include "controller/events.h"
#include "gateway/events.h"
#include "peer/events.h"
#include "provider/events.h"
#include "router/events.h"
#include "state/events.h"

namespace bamboomount {
namespace {

const std::string kSourceDir = BAMBOOMOUNT_SOURCE_DIR;

std::string ReadFile(const std::string& path) {
  std::ifstream file(kSourceDir + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Row(const LogEvent& event) {
  static const std::array<std::string, 3> kLevels{"info", "warning", "error"};
  return "| " + std::to_string(event.number) + " | " +
         kLevels.at(static_cast<std::size_t>(event.severity)) + " | " +
         std::string(event.name) + " | " + std::string(event.meaning) + " |\n";
}

struct Catalogue {
  std::string rows;
  std::multiset<int> numbers;

  template <typename Events>
  void Add(const std::string& header, const Events& events) {
    for (const LogEvent& event : events) {
      rows += Row(event);
      numbers.insert(event.number);
    }
    const std::string text = ReadFile(header);
    const std::regex declaration("inline constexpr LogEvent");
    const auto declared = std::distance(
        std::sregex_iterator(text.begin(), text.end(), declaration),
        std::sregex_iterator());
    BOOST_TEST(static_cast<std::size_t>(declared) == std::size(events),
               header << " declares events that its array lacks");
  }
};

Catalogue AllEvents() {
  Catalogue catalogue;
  catalogue.Add("apps/bamboomountd/events.h", kDaemonEvents);
  catalogue.Add("src/state/events.h", kStateEvents);
  catalogue.Add("src/peer/events.h", peer_events::kPeerEvents);
  catalogue.Add("src/provider/events.h", events::kProviderEvents);
  catalogue.Add("src/controller/events.h", events::kControllerEvents);
  catalogue.Add("src/router/events.h", kRouterEvents);
  catalogue.Add("src/admin/events.h", kAdminEvents);
  catalogue.Add("src/gateway/events.h", gateway_events::kGatewayEvents);
  return catalogue;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event_catalogue)

// Guards against a page for operators that lacks or misstates an event.
BOOST_AUTO_TEST_CASE(the_events_page_matches_the_declared_events) {
  const std::string rows = AllEvents().rows;
  const std::string page = ReadFile("docs/EVENTS.md");
  BOOST_TEST(page.find(rows) != std::string::npos,
             "docs/EVENTS.md must hold these rows:\n"
                 << rows);
}

// Guards against two events that operators cannot tell apart.
BOOST_AUTO_TEST_CASE(event_numbers_are_unique) {
  for (const int number : AllEvents().numbers)
    BOOST_TEST(AllEvents().numbers.count(number) == 1U,
               "event number " << number);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
