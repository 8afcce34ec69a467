#ifndef COMMAND_REPORT_H_
#define COMMAND_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboomount {

// A value in a table or field of a report; std::monostate if it is not known.
using ReportCell =
    std::variant<std::monostate, std::string, std::int64_t, bool>;

struct ReportRow {
  std::vector<ReportCell> cells;
  // Depth in a tree; 0 for a root and in a flat table.
  int depth = 0;
};

struct ReportTable {
  std::string name;
  std::vector<std::string> columns;
  std::vector<ReportRow> rows;
};

struct ReportField {
  std::string name;
  ReportCell value;
};

// Result of a command, independent of the output format.
struct Report {
  std::vector<ReportField> fields;
  std::vector<ReportTable> tables;
  // Text to be written verbatim, for example a configuration.
  std::optional<std::string> text;
};

}  // namespace bamboomount

#endif  // COMMAND_REPORT_H_
