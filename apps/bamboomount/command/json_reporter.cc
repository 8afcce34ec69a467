#include "command/json_reporter.h"

#include <nlohmann/json.hpp>

namespace bamboomount {
namespace {

using Json = nlohmann::ordered_json;

struct CellJson {
  Json operator()(std::monostate) const { return nullptr; }
  Json operator()(const std::string& text) const { return text; }
  Json operator()(std::int64_t number) const { return number; }
  Json operator()(bool flag) const { return flag; }
};

Json TableJson(const ReportTable& table) {
  Json rows = Json::array();
  for (const ReportRow& row : table.rows) {
    Json object = Json::object();
    for (std::size_t i = 0; i < row.cells.size(); ++i)
      object[table.columns[i]] = std::visit(CellJson(), row.cells[i]);
    rows.push_back(std::move(object));
  }
  return rows;
}

void WriteLine(const Json& json, std::ostream& out) {
  out << json.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
}

}  // namespace

void JsonReporter::Write(const Report& report, std::ostream& out) const {
  Json json = Json::object();
  for (const ReportField& field : report.fields)
    json[field.name] = std::visit(CellJson(), field.value);
  for (const ReportTable& table : report.tables)
    json[table.name] = TableJson(table);
  if (report.text)
    json["text"] = *report.text;
  WriteLine(json, out);
}

void JsonReporter::WriteError(const Error& error,
                              std::ostream& out,
                              std::ostream& /*err*/) const {
  WriteLine({{"error",
              {{"code", ToString(error.code)},
               {"message", error.message},
               {"ran", ToString(error.verdict)}}}},
            out);
}

}  // namespace bamboomount
