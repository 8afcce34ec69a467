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
  const auto reading = ReadInstanceSettings(
      kMinimal +
      R"(, "stop_deadline_s": 8, "lease_ms": 3000, "usage_window_s": 2.5,
          "duties": ["usage_reporting", "other"]})");
  BOOST_TEST(reading.errors.empty());
  BOOST_TEST(reading.settings.stop_deadline.count() == 8000);
  BOOST_TEST(reading.settings.lease_duration.count() == 3000);
  BOOST_TEST(reading.settings.usage_window.count() == 2500);
  BOOST_TEST(reading.settings.reports_usage);
  BOOST_TEST(!reading.settings.orders_backends);
}

// Guards against a misspelt setting that silently has no effect.
BOOST_AUTO_TEST_CASE(unknown_and_missing_names_are_faults) {
  const auto reading =
      ReadInstanceSettings(R"({"instance": "i-1", "zoone": "z"})");
  BOOST_TEST(reading.errors.size() == 6U);
  BOOST_TEST(reading.errors.front() == "zoone is not a known setting");
}

// Guards against a start with a value of the wrong type.
BOOST_AUTO_TEST_CASE(a_wrong_type_is_a_fault) {
  BOOST_TEST(
      ReadInstanceSettings(kMinimal + R"(, "lease_ms": "3"})").errors.size() ==
      1U);
  BOOST_TEST(ReadInstanceSettings("[]").errors.size() == 1U);
  BOOST_TEST(ReadInstanceSettings("{").errors.size() == 1U);
}

// Guards against a deployment without orders being refused.
BOOST_AUTO_TEST_CASE(null_stands_for_what_a_deployment_does_not_have) {
  const auto reading =
      ReadInstanceSettings(kMinimal + R"(, "orders_address": null})");
  BOOST_TEST(reading.errors.empty());
}

// Guards against a page for operators that lacks a setting or has one that does
// not exist.
BOOST_AUTO_TEST_CASE(the_page_lists_every_setting) {
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
