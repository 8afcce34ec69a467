#ifndef COMMAND_REPORT_H_
#define COMMAND_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboomount {

// Empty stands for "not known".
using Cell = std::variant<std::monostate, std::string, std::int64_t, bool>;

struct ReportRow {
  std::vector<Cell> cells;
  // Level in a tree; 0 in a flat table.
  int depth = 0;
};

struct ReportTable {
  std::string name;
  std::vector<std::string> columns;
  std::vector<ReportRow> rows;
};

struct ReportField {
  std::string name;
  Cell value;
};

// What a command found out, independent of the output format.
struct Report {
  std::vector<ReportField> fields;
  std::vector<ReportTable> tables;
  // A text that is shown as it is, for example a configuration.
  std::optional<std::string> text;
};

}  // namespace bamboomount

#endif  // COMMAND_REPORT_H_
