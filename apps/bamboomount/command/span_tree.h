#ifndef COMMAND_SPAN_TREE_H_
#define COMMAND_SPAN_TREE_H_

#include <vector>

#include "command/report.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

// Returns the spans of one trace as a tree with children below their parent,
// sorted by start time. A span whose parent is not in `spans` is a root.
// Duplicates are removed.
ReportTable SpanTree(std::vector<Span> spans);

}  // namespace bamboomount

#endif  // COMMAND_SPAN_TREE_H_
