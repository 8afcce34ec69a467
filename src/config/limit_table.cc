#include "config/limit_table.h"

namespace bamboomount {

// Does not include lease and usage-window lengths: routers run different
// configuration versions for some seconds, and these lengths must be equal on
// all of them.
const std::vector<LimitSpec>& LimitTable() {
  static const std::vector<LimitSpec> table = {
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
      {"address_ttl_s", "s", 5, 1, 300,
       "time a caller may keep the list of addresses"},
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
