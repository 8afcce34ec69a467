#ifndef GATEWAY_FORWARDING_REQUEST_TARGET_H_
#define GATEWAY_FORWARDING_REQUEST_TARGET_H_

#include <string>
#include <string_view>

namespace bamboomount {

// The path of a request target, without its query.
std::string_view PathOf(std::string_view target);

// The raw value of the query parameter `name` in `target`, not percent-decoded;
// empty if there is none.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_REQUEST_TARGET_H_
