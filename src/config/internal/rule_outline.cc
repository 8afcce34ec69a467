#include "config/internal/rule_outline.h"

#include <algorithm>
#include <map>
#include <set>

namespace bamboomount::internal {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kWhitespace = " \t\r";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (true) {
    const std::size_t end = text.find('\n');
    lines.push_back(text.substr(0, end));
    if (end == std::string_view::npos)
      return lines;
    text.remove_prefix(end + 1);
  }
}

// Needed since the table stores only UTF-8 and the JSON lexer does not check
// the encoding of comments.
bool IsUtf8(std::string_view line) {
  try {
    (void)Json(line).dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

enum class LineKind {
  // Blank, or only a comment.
  kEmpty,
  kRule,
  // Braces, brackets and array names outside the rules.
  kStructure,
  // Continues a rule that did not end on its own line, which is an error.
  kContinuation,
};

class OutlineReader {
 public:
  explicit OutlineReader(std::string_view text)
      : lines_(SplitLines(text)), kinds_(lines_.size(), LineKind::kEmpty) {}

  RuleOutline Read(const std::vector<std::string_view>& sections) {
    ReadLines();
    CheckCommas();
    ReadStructure(sections);
    return std::move(outline_);
  }

 private:
  class StructureReader;

  int LineNumber(std::size_t index) const {
    return static_cast<int>(index) + 1;
  }

  void AddError(std::size_t index, std::size_t offset, std::string message) {
    outline_.errors.push_back(
        {LineNumber(index), static_cast<int>(offset) + 1, std::move(message)});
  }

  void ReadLines() {
    bool document_open = false;
    bool rule_open = false;
    for (std::size_t i = 0; i < lines_.size(); ++i) {
      if (!IsUtf8(lines_[i]))
        outline_.errors.push_back({LineNumber(i), 0, "line is not UTF-8"});
      const std::string_view trimmed = Trim(lines_[i]);
      if (trimmed.empty() || trimmed.starts_with("//"))
        continue;
      const bool opens = trimmed.front() == '{';
      if (rule_open && !opens && trimmed.front() != ']') {
        kinds_[i] = LineKind::kContinuation;
        continue;
      }
      rule_open = false;
      if (!opens || !document_open) {
        document_open = true;
        kinds_[i] = LineKind::kStructure;
        continue;
      }
      kinds_[i] = LineKind::kRule;
      rule_open = !ReadRule(i);
    }
  }

  // Returns false if the rule does not end on the same line.
  bool ReadRule(std::size_t index) {
    const std::size_t indent = lines_[index].find('{');
    RuleLine rule;
    rule.line = LineNumber(index);
    rule.column = static_cast<int>(indent) + 1;
    rule.text = lines_[index].substr(indent);
    rule.scan = ScanObject(rule.text, ScanExtent::kPrefix);
    rule_by_line_[index] = outline_.rules.size();
    outline_.rules.push_back(rule);
    if (rule.scan.fault) {
      const ScanFault& fault = *rule.scan.fault;
      AddError(index, indent + fault.offset,
               fault.at_end ? "a rule must begin and end on one line"
                            : fault.message);
      return !fault.at_end;
    }
    CheckTextAfterRule(index, indent + rule.scan.end);
    return true;
  }

  // Checks that only an optional comma and "// NAME: reason" follow a rule.
  void CheckTextAfterRule(std::size_t index, std::size_t offset) {
    std::string_view tail = Trim(lines_[index].substr(offset));
    if (tail.starts_with(',')) {
      lines_with_comma_.insert(index);
      tail = Trim(tail.substr(1));
    }
    if (!tail.empty() && !tail.starts_with("//")) {
      AddError(index, offset, "only one rule may stand on a line");
      return;
    }
    const std::string_view comment = tail.empty() ? tail : Trim(tail.substr(2));
    const std::size_t colon = comment.find(':');
    if (colon == std::string_view::npos ||
        Trim(comment.substr(0, colon)).empty() ||
        Trim(comment.substr(colon + 1)).empty())
      AddError(index, offset,
               "the rule needs a comment \"// NAME: reason\" that states who "
               "requested it and why");
  }

  bool IsFollowedByRule(std::size_t index) const {
    for (std::size_t i = index + 1; i < lines_.size(); ++i) {
      if (kinds_[i] == LineKind::kRule)
        return true;
      if (kinds_[i] == LineKind::kStructure)
        return false;
    }
    return false;
  }

  void CheckCommas() {
    for (const auto& [index, rule_index] : rule_by_line_) {
      const RuleLine& rule = outline_.rules[rule_index];
      if (rule.scan.fault)
        continue;
      const std::size_t end = lines_[index].find('{') + rule.scan.end;
      const bool followed = IsFollowedByRule(index);
      if (followed && !lines_with_comma_.contains(index))
        AddError(index, end, "a comma is missing after the rule");
      if (!followed && lines_with_comma_.contains(index))
        AddError(index, end, "no comma may follow the last rule of an array");
    }
  }

  // Returns the document with each rule replaced by an empty object. Line
  // numbers are preserved.
  std::string StructureText() const {
    std::string text;
    for (std::size_t i = 0; i < lines_.size(); ++i) {
      if (kinds_[i] == LineKind::kStructure)
        text += lines_[i];
      if (kinds_[i] == LineKind::kRule)
        text += IsFollowedByRule(i) ? "{}," : "{}";
      text += '\n';
    }
    return text;
  }

  void ReadStructure(const std::vector<std::string_view>& sections);

  std::vector<std::string_view> lines_;
  std::vector<LineKind> kinds_;
  // Indexes of lines whose rule is followed by a comma.
  std::set<std::size_t> lines_with_comma_;
  // Index in `outline_.rules` by index of the line.
  std::map<std::size_t, std::size_t> rule_by_line_;
  RuleOutline outline_;
};

// Checks the structure of the document, which must be one object whose members
// are arrays of rules, and assigns each rule to its array.
class OutlineReader::StructureReader : public nlohmann::json_sax<Json> {
 public:
  StructureReader(OutlineReader& reader,
                  std::string_view text,
                  const std::size_t& consumed,
                  const std::vector<std::string_view>& sections)
      : reader_(reader),
        text_(text),
        consumed_(consumed),
        sections_(sections) {}

  bool null() override { return CheckScalar(); }
  bool boolean(bool /*value*/) override { return CheckScalar(); }
  bool number_integer(std::int64_t /*value*/) override { return CheckScalar(); }
  bool number_unsigned(std::uint64_t /*value*/) override {
    return CheckScalar();
  }
  bool number_float(double /*value*/, const std::string& /*text*/) override {
    return CheckScalar();
  }
  bool string(std::string& /*value*/) override { return CheckScalar(); }
  bool binary(Json::binary_t& /*value*/) override { return CheckScalar(); }

  bool start_object(std::size_t /*elements*/) override {
    if (depth_ == 1)
      AddError("must be an array of rules");
    if (depth_ == 2)
      AssignSectionToRule();
    ++depth_;
    return true;
  }
  bool start_array(std::size_t /*elements*/) override {
    if (depth_ == 0)
      AddError("the configuration must be one object");
    if (depth_ == 2)
      AddError("a rule must be an object");
    ++depth_;
    return true;
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& name) override {
    if (depth_ != 1)
      return true;
    section_ = name;
    if (std::find(sections_.begin(), sections_.end(), name) == sections_.end())
      AddError("unknown array \"" + name + "\"");
    else if (!seen_.insert(name).second)
      AddError("array \"" + name + "\" is given twice");
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& error) override {
    AddError(WithoutPosition(error.what()));
    return false;
  }

  const std::set<std::string>& seen() const { return seen_; }

 private:
  bool CheckScalar() {
    if (depth_ == 0)
      AddError("the configuration must be one object");
    if (depth_ == 1)
      AddError("must be an array of rules");
    if (depth_ == 2)
      AddError("a rule must be an object");
    return true;
  }

  bool Close() {
    --depth_;
    return true;
  }

  ConfigError ErrorAtCurrentPosition(std::string message) const {
    const std::size_t last = consumed_ == 0 ? 0 : consumed_ - 1;
    return TextPositions(text_, 1, 1)
        .ErrorAt(std::min(last, text_.size()), std::move(message));
  }

  void AddError(std::string message) {
    reader_.outline_.errors.push_back(
        ErrorAtCurrentPosition(std::move(message)));
  }

  void AssignSectionToRule() {
    const auto line =
        static_cast<std::size_t>(ErrorAtCurrentPosition("").line - 1);
    const auto found = reader_.rule_by_line_.find(line);
    if (found == reader_.rule_by_line_.end()) {
      AddError("a rule must stand on a line of its own");
      return;
    }
    reader_.outline_.rules[found->second].section = section_;
  }

  OutlineReader& reader_;
  std::string_view text_;
  const std::size_t& consumed_;
  const std::vector<std::string_view>& sections_;
  std::string section_;
  std::set<std::string> seen_;
  int depth_ = 0;
};

void OutlineReader::ReadStructure(
    const std::vector<std::string_view>& sections) {
  const std::string text = StructureText();
  std::size_t consumed = 0;
  StructureReader handler(*this, text, consumed, sections);
  const bool read = Json::sax_parse(
      CountingIterator(text.data(), &consumed),
      CountingIterator(text.data() + text.size(), &consumed), &handler,
      nlohmann::detail::input_format_t::json, true, true);
  if (!read)
    return;
  for (const std::string_view section : sections) {
    if (!handler.seen().contains(std::string(section)))
      outline_.errors.push_back(
          {1, 0, "array \"" + std::string(section) + "\" is missing"});
  }
  for (const RuleLine& rule : outline_.rules) {
    if (rule.section.empty())
      outline_.errors.push_back(
          {rule.line, rule.column, "the rule is not inside an array"});
  }
}

}  // namespace

RuleOutline ReadRuleOutline(std::string_view text,
                            const std::vector<std::string_view>& sections) {
  return OutlineReader(text).Read(sections);
}

}  // namespace bamboomount::internal
