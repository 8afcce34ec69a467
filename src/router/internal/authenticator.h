#ifndef ROUTER_INTERNAL_AUTHENTICATOR_H_
#define ROUTER_INTERNAL_AUTHENTICATOR_H_

#include <functional>
#include <string>

#include "base/base.h"
#include "router/internal/caller_request.h"
#include "state/state.h"

namespace bamboomount {

// Finds the customer whose key came with a request.
class Authenticator {
 public:
  Authenticator(const ControlStateHolder& state,
                std::function<bool()> is_fresh);

  // Fails with kMissingKey, kUnknownKey, kWithdrawnKey, or kStaleState while
  // it cannot be known whether keys are still granted. Fails with
  // kKeyInRequest if the key also stands in the target, another header or the
  // body, where it would reach a backend server.
  Result<CallerIdentity> Authenticate(const HttpRequest& request) const;

  // Fails with kKeyInRequest if the text after the scheme of the Authorization
  // header also stands in the target, another header or the body. Needs no
  // known key, so it serves open routes too.
  Result<void> CheckKeyPlacement(const HttpRequest& request) const;

 private:
  Result<CallerIdentity> FindIdentity(const std::string& key) const;

  const ControlStateHolder& state_;
  const std::function<bool()> is_fresh_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_AUTHENTICATOR_H_
