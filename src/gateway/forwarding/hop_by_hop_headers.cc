#include "gateway/forwarding/hop_by_hop_headers.h"

#include <array>
#include <string>
#include <vector>

namespace bamboomount {
namespace {

constexpr std::array kHopByHopFields{http::field::connection,
                                     http::field::keep_alive,
                                     http::field::proxy_connection,
                                     http::field::proxy_authenticate,
                                     http::field::te,
                                     http::field::trailer,
                                     http::field::transfer_encoding,
                                     http::field::upgrade,
                                     http::field::content_length,
                                     http::field::expect};

}  // namespace

void RemoveHopByHopHeaders(http::fields& fields) {
  std::vector<std::string> named;
  const auto [begin, end] = fields.equal_range(http::field::connection);
  for (auto field = begin; field != end; ++field) {
    for (const auto& token : http::token_list(field->value()))
      named.emplace_back(token);
  }
  for (const std::string& name : named)
    fields.erase(name);
  for (const http::field field : kHopByHopFields)
    fields.erase(field);
}

}  // namespace bamboomount
