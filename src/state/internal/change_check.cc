#include "state/internal/change_check.h"

#include <utility>

namespace bamboomount::internal {
namespace {

Error Refusal(ErrorCode code, std::string message) {
  return {code, RunVerdict::kNotRun, std::move(message), {}};
}

class BodyCheck {
 public:
  explicit BodyCheck(const ControlState& state) : state_(state) {}

  // The text itself is checked by ApplyChange.
  Result<ChangeDisposition> operator()(ConfigApplied& body) const {
    if (body.base != state_.config_version)
      return Refusal(ErrorCode::kStaleBase,
                     "version " +
                         std::to_string(state_.config_version.value()) +
                         " by " + state_.config_author + " is in force");
    body.version = body.base + ConfigVersion(1);
    return ChangeDisposition::kAppend;
  }

  Result<ChangeDisposition> operator()(const KeyGranted& body) const {
    if (state_.config->FindCustomer(body.customer) == nullptr)
      return Refusal(ErrorCode::kNotFound,
                     "no customer \"" + body.customer.value() + "\"");
    if (FindKey(state_, body.key) != nullptr ||
        state_.keys.contains(body.digest))
      return Refusal(ErrorCode::kConflict,
                     "key \"" + body.key.value() + "\" was granted before");
    return ChangeDisposition::kAppend;
  }

  Result<ChangeDisposition> operator()(const KeyWithdrawn& body) const {
    const KeyEntry* entry = FindKey(state_, body.key);
    if (entry == nullptr)
      return Refusal(ErrorCode::kNotFound,
                     "no key \"" + body.key.value() + "\"");
    return entry->withdrawn ? ChangeDisposition::kAlreadyInEffect
                            : ChangeDisposition::kAppend;
  }

  Result<ChangeDisposition> operator()(const InstanceDrained& body) const {
    return state_.drained.contains(body.instance)
               ? ChangeDisposition::kAlreadyInEffect
               : ChangeDisposition::kAppend;
  }

  Result<ChangeDisposition> operator()(const StateSnapshot& /*body*/) const {
    return Refusal(ErrorCode::kBadRequest,
                   "a whole state is no change of the log");
  }

 private:
  const ControlState& state_;
};

}  // namespace

Result<ChangeDisposition> CheckChange(const ControlState& state,
                                      ChangeBody& body) {
  return std::visit(BodyCheck(state), body);
}

}  // namespace bamboomount::internal
