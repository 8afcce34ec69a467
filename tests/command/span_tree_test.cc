#include "command/span_tree.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <sstream>

#include "command/table_reporter.h"

namespace bamboomount {
namespace {

Span MakeSpan(const std::string& id, const std::string& parent, int start) {
  Span span;
  span.context = {"t", id};
  span.parent_span_id = parent;
  span.name = "span-" + id;
  span.start += std::chrono::microseconds(start);
  return span;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(span_tree)

// Guards against spans that are missing, shown twice or under the wrong parent,
// and against endless recursion. Instances can return a span twice or lack its
// parent, and malformed parent ids can form cycles.
BOOST_AUTO_TEST_CASE(every_span_is_shown_once_below_its_parent) {
  BOOST_TEST(rc::check([] {
    const int count = *rc::gen::inRange(1, 12);
    std::vector<Span> spans;
    std::set<std::string> ids;
    for (int i = 0; i < count; ++i) {
      const auto id = std::to_string(*rc::gen::inRange(0, 8));
      spans.push_back(MakeSpan(id, std::to_string(*rc::gen::inRange(0, 10)),
                               *rc::gen::inRange(0, 50)));
      ids.insert(id);
    }
    std::set<std::string> shown;
    std::map<std::string, int> depths;
    for (const ReportRow& row : SpanTree(spans).rows) {
      const auto& id = std::get<std::string>(row.cells[5]);
      const auto& parent = std::get<std::string>(row.cells[6]);
      RC_ASSERT(shown.insert(id).second);
      if (row.depth > 0)
        RC_ASSERT(depths.at(parent) == row.depth - 1);
      depths[id] = row.depth;
    }
    RC_ASSERT(shown == ids);
  }));
}

// Guards against a table that shows a child span at its parent's level: the
// indentation is all that shows the nesting.
BOOST_AUTO_TEST_CASE(tables_indent_children) {
  std::ostringstream out;
  TableReporter().Write(
      {{}, {SpanTree({MakeSpan("b", "a", 5), MakeSpan("a", "", 1)})}, {}}, out);
  BOOST_TEST(out.str().find("\nspan-a ") != std::string::npos);
  BOOST_TEST(out.str().find("\n  span-b ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
