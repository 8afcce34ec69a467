#include "command/rule_diff.h"

#include <map>
#include <sstream>
#include <string_view>
#include <vector>

namespace bamboomount {
namespace {

constexpr std::string_view kWhitespace = " \t\r";

// The line without indent and without the comma between rule and comment.
std::string Normalize(const std::string& line) {
  const std::size_t first = line.find_first_not_of(kWhitespace);
  if (first == std::string::npos)
    return {};
  std::string text =
      line.substr(first, line.find_last_not_of(kWhitespace) - first + 1);
  const std::size_t comma = text.find("},");
  if (comma == std::string::npos)
    return text;
  const std::size_t next = text.find_first_not_of(kWhitespace, comma + 2);
  if (next == std::string::npos || text.compare(next, 2, "//") == 0)
    text.erase(comma + 1, 1);
  return text;
}

std::vector<std::string> NormalizedLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    std::string normalized = Normalize(line);
    if (!normalized.empty())
      lines.push_back(std::move(normalized));
  }
  return lines;
}

// Lines of `lines` that `other` has less often, in order.
void AppendUnmatchedLines(const std::vector<std::string>& lines,
                          const std::vector<std::string>& other,
                          const char* prefix,
                          std::string& out) {
  std::map<std::string_view, int> unmatched;
  for (const std::string& line : other)
    ++unmatched[line];
  for (const std::string& line : lines) {
    if (unmatched[line]-- > 0)
      continue;
    out += prefix + line + "\n";
  }
}

}  // namespace

std::string DiffRules(const std::string& before, const std::string& after) {
  const auto old_lines = NormalizedLines(before);
  const auto new_lines = NormalizedLines(after);
  std::string out;
  AppendUnmatchedLines(old_lines, new_lines, "- ", out);
  AppendUnmatchedLines(new_lines, old_lines, "+ ", out);
  return out;
}

}  // namespace bamboomount
