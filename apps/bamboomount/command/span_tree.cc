#include "command/span_tree.h"

#include <algorithm>
#include <map>
#include <set>

namespace bamboomount {
namespace {

using Children = std::map<std::string, std::vector<const Span*>>;

std::int64_t MicrosBetween(std::chrono::system_clock::time_point from,
                           std::chrono::system_clock::time_point to) {
  return std::chrono::duration_cast<std::chrono::microseconds>(to - from)
      .count();
}

std::string AttributeText(const Span& span) {
  std::string text;
  for (const auto& [name, value] : span.attributes)
    text.append(text.empty() ? "" : " ").append(name).append("=").append(value);
  return text;
}

// `pending` holds the spans that are not yet written; it also ends cycles,
// which damaged parent ids could form.
class TreeWriter {
 public:
  TreeWriter(const Children& children,
             std::set<std::string> pending,
             std::chrono::system_clock::time_point start,
             ReportTable& table)
      : children_(children),
        pending_(std::move(pending)),
        start_(start),
        table_(table) {}

  void Write(const Span& span, int depth) {
    if (pending_.erase(span.context.span_id) == 0)
      return;
    table_.rows.push_back(
        {{span.name, span.process, MicrosBetween(start_, span.start),
          static_cast<std::int64_t>(span.duration.count()), AttributeText(span),
          span.context.span_id, span.parent_span_id},
         depth});
    const auto found = children_.find(span.context.span_id);
    if (found == children_.end())
      return;
    for (const Span* child : found->second)
      Write(*child, depth + 1);
  }

 private:
  const Children& children_;
  std::set<std::string> pending_;
  std::chrono::system_clock::time_point start_;
  ReportTable& table_;
};

}  // namespace

ReportTable SpanTree(std::vector<Span> spans) {
  ReportTable table{"spans",
                    {"span", "process", "start_us", "duration_us", "attributes",
                     "span_id", "parent_span_id"},
                    {}};
  if (spans.empty())
    return table;
  std::stable_sort(
      spans.begin(), spans.end(),
      [](const Span& a, const Span& b) { return a.start < b.start; });
  std::set<std::string> ids;
  Children children;
  for (const Span& span : spans) {
    if (ids.insert(span.context.span_id).second)
      children[span.parent_span_id].push_back(&span);
  }
  TreeWriter writer(children, ids, spans.front().start, table);
  for (const Span& span : spans) {
    if (!ids.contains(span.parent_span_id))
      writer.Write(span, 0);
  }
  // Members of a cycle have no root.
  for (const Span& span : spans)
    writer.Write(span, 0);
  return table;
}

}  // namespace bamboomount
