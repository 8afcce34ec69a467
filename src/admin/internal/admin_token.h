#ifndef ADMIN_INTERNAL_ADMIN_TOKEN_H_
#define ADMIN_INTERNAL_ADMIN_TOKEN_H_

#include <string>
#include <string_view>

namespace bamboomount::internal {

// The operators' token. Only its digest is kept.
class AdminToken {
 public:
  explicit AdminToken(std::string_view token);

  // Whether the value of an Authorization header is "Bearer <token>". Takes the
  // same time for every wrong token of one length.
  bool Matches(std::string_view authorization) const;

 private:
  std::string digest_;
};

}  // namespace bamboomount::internal

#endif  // ADMIN_INTERNAL_ADMIN_TOKEN_H_
