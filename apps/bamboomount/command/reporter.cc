#include "command/reporter.h"

#include <functional>
#include <utility>

#include "command/json_reporter.h"
#include "command/table_reporter.h"

namespace bamboomount {
namespace {

struct ReporterEntry {
  std::string name;
  std::function<std::unique_ptr<Reporter>()> make;
};

const std::vector<ReporterEntry>& Registry() {
  static const std::vector<ReporterEntry> registry = {
      {"table", [] { return std::make_unique<TableReporter>(); }},
      {"json", [] { return std::make_unique<JsonReporter>(); }},
  };
  return registry;
}

}  // namespace

std::vector<std::string> ReporterNames() {
  std::vector<std::string> names;
  for (const ReporterEntry& entry : Registry())
    names.push_back(entry.name);
  return names;
}

std::unique_ptr<Reporter> MakeReporter(const std::string& name) {
  for (const ReporterEntry& entry : Registry()) {
    if (entry.name == name)
      return entry.make();
  }
  return nullptr;
}

}  // namespace bamboomount
