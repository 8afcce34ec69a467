#include "config/internal/object_scan.h"

#include <algorithm>
#include <utility>

namespace bamboomount::internal {
namespace {

using Json = nlohmann::json;

// Records the fields of the outermost object. Nested values are skipped here
// and read by Json::parse.
class FieldRecorder : public nlohmann::json_sax<Json> {
 public:
  FieldRecorder(std::string_view text,
                const std::size_t& consumed,
                ObjectScan& scan)
      : text_(text), consumed_(consumed), scan_(scan) {}

  bool null() override { return RecordValue(consumed_); }
  bool boolean(bool /*value*/) override { return RecordValue(consumed_); }
  // The lexer consumes one character past the end of a number.
  bool number_integer(std::int64_t /*value*/) override {
    return RecordValue(consumed_ - 1);
  }
  bool number_unsigned(std::uint64_t /*value*/) override {
    return RecordValue(consumed_ - 1);
  }
  bool number_float(double /*value*/, const std::string& /*text*/) override {
    return RecordValue(consumed_ - 1);
  }
  bool string(std::string& /*value*/) override {
    return RecordValue(consumed_);
  }
  bool binary(Json::binary_t& /*value*/) override {
    return RecordValue(consumed_);
  }

  bool start_object(std::size_t /*elements*/) override { return Open(); }
  bool start_array(std::size_t /*elements*/) override {
    if (depth_ == 0)
      return RejectNonObject();
    return Open();
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& name) override {
    if (depth_ == 1)
      scan_.fields.push_back({name, TokenStart(), 0});
    last_end_ = consumed_;
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& error) override {
    std::string message = WithoutPosition(error.what());
    const bool at_end =
        message.find("unexpected end of input") != std::string::npos;
    scan_.fault = ScanFault{TokenStart(), std::move(message), at_end};
    return false;
  }

 private:
  bool RejectNonObject() {
    scan_.fault = ScanFault{0, "expected an object", false};
    return false;
  }

  bool RecordValue(std::size_t end) {
    if (depth_ == 0)
      return RejectNonObject();
    RecordValueStart();
    last_end_ = end;
    return true;
  }

  bool Open() {
    RecordValueStart();
    ++depth_;
    last_end_ = consumed_;
    return true;
  }

  bool Close() {
    --depth_;
    last_end_ = consumed_;
    if (depth_ == 0)
      scan_.end = consumed_;
    return true;
  }

  void RecordValueStart() {
    if (depth_ == 1 && !scan_.fields.empty())
      scan_.fields.back().value_offset = TokenStart();
  }

  std::size_t TokenStart() const {
    const std::size_t start = text_.find_first_not_of(" \t\r\n,:", last_end_);
    return start == std::string_view::npos ? text_.size() : start;
  }

  std::string_view text_;
  const std::size_t& consumed_;
  ObjectScan& scan_;
  std::size_t last_end_ = 0;
  int depth_ = 0;
};

}  // namespace

ConfigError TextPositions::ErrorAt(std::size_t offset,
                                   std::string message) const {
  const std::string_view before = text_.substr(0, offset);
  const auto breaks = std::count(before.begin(), before.end(), '\n');
  const std::size_t last_break = before.rfind('\n');
  const int line = first_line_ + static_cast<int>(breaks);
  const int column = last_break == std::string_view::npos
                         ? first_column_ + static_cast<int>(before.size())
                         : static_cast<int>(before.size() - last_break);
  return {line, column, std::move(message)};
}

ObjectScan ScanObject(std::string_view text, ScanExtent extent) {
  ObjectScan scan;
  std::size_t consumed = 0;
  FieldRecorder recorder(text, consumed, scan);
  const bool whole = extent == ScanExtent::kWholeText;
  const bool read = Json::sax_parse(
      CountingIterator(text.data(), &consumed),
      CountingIterator(text.data() + text.size(), &consumed), &recorder,
      nlohmann::detail::input_format_t::json, whole, true);
  if (!read) {
    if (!scan.fault)
      scan.fault = ScanFault{0, "expected an object", false};
    return scan;
  }
  scan.value = Json::parse(text.substr(0, scan.end), nullptr, false, true);
  return scan;
}

std::string WithoutPosition(const std::string& parser_message) {
  const std::size_t column = parser_message.find(", column ");
  const std::size_t colon =
      column == std::string::npos ? column : parser_message.find(": ", column);
  if (colon == std::string::npos)
    return parser_message;
  return parser_message.substr(colon + 2);
}

}  // namespace bamboomount::internal
