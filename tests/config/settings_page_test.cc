#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>

#include "config/config.h"
#include "config/internal/field_values.h"
#include "config/internal/service_rules.h"

namespace bamboomount {
namespace {

using internal::FieldPresence;
using internal::FieldTable;
using internal::FormatNumber;

// Returns the table rows of docs/settings.md that document a name.
std::set<std::string> DocumentedRows() {
  std::ifstream page(std::string(BAMBOOMOUNT_SOURCE_DIR) + "/docs/settings.md");
  std::set<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `"))
      rows.insert(line);
  }
  return rows;
}

std::string Quoted(std::string_view name) {
  return "`" + std::string(name) + "`";
}

// Checks that `rows` has a row that starts with `prefix`, and removes it.
void RequireRow(std::set<std::string>& rows, const std::string& prefix) {
  const auto found = rows.lower_bound(prefix);
  const bool present = found != rows.end() && found->starts_with(prefix);
  BOOST_TEST(present, "docs/settings.md lacks: " << prefix);
  if (present)
    rows.erase(found);
}

template <typename Rule>
void RequireFields(std::set<std::string>& rows,
                   const std::string& section,
                   const FieldTable<Rule>& table) {
  for (const auto& field : table)
    RequireRow(rows,
               "| " + Quoted(section) + " | " + Quoted(field.name) + " | " +
                   (field.presence == FieldPresence::kRequired ? "required"
                                                               : "optional") +
                   " | ");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_page)

// Guards against docs/settings.md falling out of step with the code: operators
// would write files that are rejected, or not know of a setting.
BOOST_AUTO_TEST_CASE(the_page_lists_exactly_what_the_code_reads) {
  std::set<std::string> rows = DocumentedRows();
  for (const SettingSpec& setting : SettingTable()) {
    if (setting.name == "threads")
      BOOST_TEST(setting.default_text ==
                 std::to_string(ProcessSettings().threads));
    RequireRow(rows, "| " + Quoted(setting.name) + " | " +
                         std::string(setting.required ? "required"
                                                      : setting.default_text) +
                         " | " + std::string(setting.meaning) + " |");
  }
  RequireFields(rows, "zones", internal::ZoneFields());
  RequireFields(rows, "pools", internal::PoolFields());
  RequireFields(rows, "backends", internal::BackendFields());
  RequireFields(rows, "classes", internal::ClassFields());
  RequireFields(rows, "routes", internal::RouteFields());
  RequireFields(rows, "customers", internal::CustomerFields());
  RequireFields(rows, "limits", internal::LimitFields());
  for (const LimitSpec& limit : LimitTable())
    RequireRow(rows, "| " + Quoted(limit.name) + " | " +
                         std::string(limit.unit) + " | " +
                         FormatNumber(limit.default_value) + " | " +
                         FormatNumber(limit.minimum) + " to " +
                         FormatNumber(limit.maximum) + " | " +
                         std::string(limit.meaning) + " |");
  for (const std::string& row : rows)
    BOOST_ERROR("docs/settings.md lists what the code does not read: " << row);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
