#include "config/limit_table.h"

namespace bamboomount {

// Lease and usage-window lengths are absent on purpose: routers hold different
// versions for some seconds, and these lengths must be equal on all of them.
const std::vector<LimitSpec>& LimitTable() {
  static const std::vector<LimitSpec> table = {
      {"starvation_stride", "grants", 16, 2, 1024,
       "one grant in this many goes to the class that waited longest"},
      {"retry_budget_percent", "percent", 10, 0, 100,
       "retries a router may add to its requests"},
      {"max_header_bytes", "bytes", 16384, 1024, 65536,
       "size of a caller's request header"},
      {"max_body_bytes", "bytes", 1048576, 1024, 67108864,
       "size of a caller's request body"},
      {"header_timeout_ms", "ms", 10000, 100, 120000,
       "time a caller may take to send a request header"},
      {"first_byte_timeout_ms", "ms", 60000, 100, 600000,
       "time a backend server may take until its answer begins"},
      {"stall_timeout_ms", "ms", 5000, 100, 600000,
       "pause in a stream after which it is resumed at another engine"},
      {"kept_answer_bytes", "bytes", 65536, 0, 1048576,
       "size up to which the answer of a call that must not repeat is kept in "
       "its claim row"},
      {"address_ttl_s", "s", 5, 1, 300,
       "time a caller may keep the list of addresses"},
      {"slot_ack_timeout_ms", "ms", 75, 5, 5000,
       "wait for the owner of a cell, for each of two tries"},
      {"owner_report_wait_ms", "ms", 300, 10, 10000,
       "time a new owner of a cell waits for the lists of the routers"},
      {"load_poll_ms", "ms", 500, 50, 60000,
       "time between two load polls of a backend server"},
      {"list_poll_ms", "ms", 1000, 100, 60000,
       "time between two reads of the platform's list"},
      {"max_cost_per_hour", "cost per hour", 1e9, 0, 1e9,
       "cost that the spending plan may not exceed"},
  };
  return table;
}

const LimitSpec* FindLimitSpec(std::string_view name) {
  for (const LimitSpec& spec : LimitTable()) {
    if (spec.name == name)
      return &spec;
  }
  return nullptr;
}

}  // namespace bamboomount
