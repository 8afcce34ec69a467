#include "admin/change_operations.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "admin/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// Author of withdrawals that an instance writes to the log after an outage.
constexpr char kEmergencyAuthor[] = "emergency-withdrawal";
// Versions that operators see; each costs one small read. Earlier ones can
// still be shown by number.
constexpr std::uint64_t kMaxHistoryVersions = 100;

}  // namespace

ChangeOperations::ChangeOperations(ChangeLog& log,
                                   ControlStateHolder& holder,
                                   StateFollower& follower,
                                   PushChange push,
                                   PropagateWithdrawal propagate)
    : log_(log),
      holder_(holder),
      follower_(follower),
      push_(std::move(push)),
      propagate_(std::move(propagate)) {}

Result<ConfigReply> ChangeOperations::Config(
    std::optional<ConfigVersion> version,
    Millis timeout) {
  const auto state = holder_.current();
  if (!version || *version == state->config_version)
    return ConfigReply{state->config_version, state->sequence,
                       state->config_author, state->config_unix_seconds,
                       state->config_text};
  BOOST_OUTCOME_TRY(change, log_.ConfigChange(*version, timeout));
  return ConfigReply{*version, change.sequence, change.author,
                     change.unix_seconds,
                     std::get<ConfigApplied>(change.body).text};
}

Result<std::vector<ConfigVersionEntry>> ChangeOperations::ConfigHistory(
    Millis timeout) {
  return log_.History(holder_.current()->config_version, kMaxHistoryVersions,
                      timeout);
}

Result<ChangeReply> ChangeOperations::ApplyConfig(
    const ApplyConfigRequest& request,
    Millis timeout) {
  return Append(request.author, ConfigApplied{{}, request.base, request.text},
                timeout);
}

KeyListing ChangeOperations::Keys() const {
  const auto state = holder_.current();
  const auto withdrawn = holder_.emergency_withdrawals();
  KeyListing listing{state->sequence, {}};
  for (const auto& [digest, entry] : state->keys)
    listing.keys.push_back({entry.key, entry.customer,
                            entry.withdrawn || withdrawn.contains(entry.key)});
  std::sort(listing.keys.begin(), listing.keys.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  return listing;
}

Result<ChangeReply> ChangeOperations::GrantKey(const GrantKeyRequest& request,
                                               Millis timeout) {
  return Append(request.author,
                KeyGranted{request.key, request.digest, request.customer},
                timeout);
}

Result<WithdrawKeyReply> ChangeOperations::WithdrawKey(
    const WithdrawKeyRequest& request,
    Millis timeout) {
  if (request.emergency)
    return WithdrawInEmergency(request.key, timeout);
  const auto logged =
      Append(request.author, KeyWithdrawn{request.key}, timeout);
  if (logged)
    return WithdrawKeyReply{logged.value().sequence, {}, 0};
  if (logged.error().code != ErrorCode::kStoreUnavailable)
    return logged.error();
  if (FindKey(*holder_.current(), request.key) == nullptr)
    return Error{ErrorCode::kNotFound,
                 RunVerdict::kNotRun,
                 "the store does not answer and this instance knows no key \"" +
                     request.key.value() + "\"",
                 {}};
  return WithdrawInEmergency(request.key, timeout);
}

Result<ChangeReply> ChangeOperations::DrainInstance(const DrainRequest& request,
                                                    Millis timeout) {
  return Append(request.author, InstanceDrained{request.instance}, timeout);
}

std::vector<KeyId> ChangeOperations::UnloggedWithdrawals() const {
  const auto state = holder_.current();
  std::vector<KeyId> unlogged;
  for (const KeyId& key : holder_.emergency_withdrawals()) {
    const KeyEntry* entry = FindKey(*state, key);
    if (entry != nullptr && entry->withdrawn)
      continue;
    unlogged.push_back(key);
  }
  return unlogged;
}

Result<void> ChangeOperations::LogEmergencyWithdrawals(Millis timeout) {
  for (const KeyId& key : UnloggedWithdrawals()) {
    const auto logged = Append(kEmergencyAuthor, KeyWithdrawn{key}, timeout);
    if (logged) {
      Log(kEmergencyWithdrawalLogged, {{"key", key.value()}});
      continue;
    }
    // A key that the log does not know cannot be used either.
    if (logged.error().code != ErrorCode::kNotFound)
      return logged.error();
  }
  return Success();
}

Result<ChangeReply> ChangeOperations::Append(const std::string& author,
                                             ChangeBody body,
                                             Millis timeout) {
  BOOST_OUTCOME_TRY(outcome, log_.Append(author, std::move(body), timeout));
  // The state first, so that the change is in force here when the operator
  // reads the reply.
  follower_.OfferState(outcome.state);
  if (outcome.change) {
    follower_.OfferChange(*outcome.change);
    push_(*outcome.change);
  }
  return ChangeReply{outcome.state->sequence, outcome.state->config_version};
}

WithdrawKeyReply ChangeOperations::WithdrawInEmergency(const KeyId& key,
                                                       Millis timeout) {
  holder_.AddEmergencyWithdrawals({key});
  WithdrawalPropagation propagation = propagate_(key, timeout);
  Log(kEmergencyWithdrawal,
      {{"key", key.value()},
       {"reached", std::to_string(propagation.reached.size())},
       {"listed", std::to_string(propagation.listed)}});
  return {std::nullopt, std::move(propagation.reached), propagation.listed};
}

}  // namespace bamboomount
