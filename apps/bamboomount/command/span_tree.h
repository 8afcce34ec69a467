#ifndef COMMAND_SPAN_TREE_H_
#define COMMAND_SPAN_TREE_H_

#include <vector>

#include "command/report.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

// The spans of one trace as a tree, children by start time below their parent.
// A span whose parent is not among them is a root. Duplicates are dropped.
ReportTable SpanTree(std::vector<Span> spans);

}  // namespace bamboomount

#endif  // COMMAND_SPAN_TREE_H_
