#ifndef GATEWAY_FORWARDING_REQUEST_TARGET_H_
#define GATEWAY_FORWARDING_REQUEST_TARGET_H_

#include <string>
#include <string_view>

namespace bamboomount {

// The path of a request's target, without its query.
std::string_view PathOf(std::string_view target);

// The value of `name` in the query of `target`, as it stands there; empty if
// there is none.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_REQUEST_TARGET_H_
