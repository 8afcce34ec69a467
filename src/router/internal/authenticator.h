#ifndef ROUTER_INTERNAL_AUTHENTICATOR_H_
#define ROUTER_INTERNAL_AUTHENTICATOR_H_

#include <functional>
#include <string>

#include "base/base.h"
#include "router/internal/caller_request.h"
#include "state/state.h"

namespace bamboomount {

// Authenticates requests by the key in the Authorization header. Thread-safe.
class Authenticator {
 public:
  Authenticator(const ControlStateHolder& state,
                std::function<bool()> is_fresh);

  // Returns the key and its customer. Fails with kMissingKey, kUnknownKey or
  // kWithdrawnKey; with kStaleState while the control state is too old to tell
  // whether keys are still granted; and with kKeyInRequest if the key also
  // occurs in the target, another header or the body, from where it would reach
  // a backend server.
  Result<CallerIdentity> Authenticate(const HttpRequest& request) const;

  // Fails with kKeyInRequest if the text after the scheme of the Authorization
  // header also occurs in the target, another header or the body. The key need
  // not be known, so that open routes can be checked too.
  Result<void> CheckKeyPlacement(const HttpRequest& request) const;

 private:
  Result<CallerIdentity> FindIdentity(const std::string& key) const;

  const ControlStateHolder& state_;
  const std::function<bool()> is_fresh_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_AUTHENTICATOR_H_
