#ifndef ADMIN_INTERNAL_ADMIN_TOKEN_H_
#define ADMIN_INTERNAL_ADMIN_TOKEN_H_

#include <string>
#include <string_view>

namespace bamboomount::internal {

// The admin token, stored only as its SHA-256 digest. Thread-safe.
class AdminToken {
 public:
  explicit AdminToken(std::string_view token);

  // Whether the value of an Authorization header is "Bearer <token>". The time
  // it takes does not depend on how much of a wrong token matches.
  bool Matches(std::string_view authorization) const;

 private:
  std::string digest_;
};

}  // namespace bamboomount::internal

#endif  // ADMIN_INTERNAL_ADMIN_TOKEN_H_
