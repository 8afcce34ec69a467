#include "gateway/instance_settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>

namespace bamboomount {
namespace {

const std::string kMinimal = R"({
  // Comments are allowed.
  "instance": "i-1", "zone": "z", "caller_address": "127.0.0.1:1",
  "readiness_address": "127.0.0.1:2", "directory_address": "127.0.0.1:3",
  "store_address": "127.0.0.1:4")";

BOOST_AUTO_TEST_SUITE(instance_settings)

// Guards against settings that are taken for others because of their unit.
BOOST_AUTO_TEST_CASE(units_are_as_named) {
  const auto parsed = ParseInstanceSettings(
      kMinimal +
      R"(, "stop_deadline_s": 8, "lease_ms": 3000, "usage_window_s": 2.5,
          "duties": ["usage_reporting", "other"]})");
  BOOST_TEST(parsed.errors.empty());
  BOOST_TEST(parsed.settings.stop_deadline.count() == 8000);
  BOOST_TEST(parsed.settings.lease_duration.count() == 3000);
  BOOST_TEST(parsed.settings.usage_window.count() == 2500);
  BOOST_TEST(parsed.settings.reports_usage);
  BOOST_TEST(!parsed.settings.orders_backends);
}

// Guards against a misspelt setting that silently has no effect.
BOOST_AUTO_TEST_CASE(unknown_and_missing_settings_are_errors) {
  const auto parsed =
      ParseInstanceSettings(R"({"instance": "i-1", "zoone": "z"})");
  BOOST_TEST(parsed.errors.size() == 6U);
  BOOST_TEST(parsed.errors.front() == "zoone is not a known setting");
}

// Guards against a start with a value of the wrong type.
BOOST_AUTO_TEST_CASE(a_value_of_the_wrong_type_is_an_error) {
  BOOST_TEST(
      ParseInstanceSettings(kMinimal + R"(, "lease_ms": "3"})").errors.size() ==
      1U);
  BOOST_TEST(ParseInstanceSettings("[]").errors.size() == 1U);
  BOOST_TEST(ParseInstanceSettings("{").errors.size() == 1U);
}

// Guards against a deployment without orders being refused.
BOOST_AUTO_TEST_CASE(null_leaves_a_setting_unset) {
  const auto parsed =
      ParseInstanceSettings(kMinimal + R"(, "orders_address": null})");
  BOOST_TEST(parsed.errors.empty());
}

// Guards against a page for operators that lacks a setting or has one that does
// not exist.
BOOST_AUTO_TEST_CASE(the_settings_page_lists_every_setting) {
  std::ifstream page(std::string(BAMBOOMOUNT_SOURCE_DIR) +
                     "/docs/entry-settings.md");
  std::set<std::string> listed;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `"))
      listed.insert(line.substr(3, line.find('`', 3) - 3));
  }
  const auto names = InstanceSettingNames();
  BOOST_TEST((listed == std::set<std::string>(names.begin(), names.end())));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
