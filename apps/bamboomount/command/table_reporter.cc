#include "command/table_reporter.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr std::size_t kIndentWidth = 2;

struct CellText {
  std::string operator()(std::monostate) const { return "-"; }
  std::string operator()(const std::string& text) const {
    return text.empty() ? "-" : text;
  }
  std::string operator()(std::int64_t number) const {
    return std::to_string(number);
  }
  std::string operator()(bool flag) const { return flag ? "yes" : "no"; }
};

using TextRow = std::vector<std::string>;

std::vector<TextRow> TextRows(const ReportTable& table) {
  std::vector<TextRow> rows = {table.columns};
  for (const ReportRow& row : table.rows) {
    TextRow texts;
    for (const ReportCell& cell : row.cells)
      texts.push_back(std::visit(CellText(), cell));
    if (!texts.empty())
      texts.front().insert(
          0, static_cast<std::size_t>(row.depth) * kIndentWidth, ' ');
    rows.push_back(std::move(texts));
  }
  return rows;
}

void WriteTable(const ReportTable& table, std::ostream& out) {
  const auto rows = TextRows(table);
  std::vector<std::size_t> widths(table.columns.size(), 0);
  for (const TextRow& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const TextRow& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    out << line.substr(0, line.find_last_not_of(' ') + 1) << "\n";
  }
}

}  // namespace

void TableReporter::Write(const Report& report, std::ostream& out) const {
  for (const ReportField& field : report.fields)
    out << field.name << ": " << std::visit(CellText(), field.value) << "\n";
  bool blank_before = !report.fields.empty();
  for (const ReportTable& table : report.tables) {
    if (blank_before)
      out << "\n";
    WriteTable(table, out);
    blank_before = true;
  }
  if (report.text)
    out << (blank_before ? "\n" : "") << *report.text;
}

void TableReporter::WriteError(const Error& error,
                               std::ostream& /*out*/,
                               std::ostream& err) const {
  err << "error: " << ToString(error.code) << ": " << error.message << "\n";
}

}  // namespace bamboomount
