#include "router/internal/claim_store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "router/events.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kNonceBytes = 16;
// Beyond this number of failed updates the oldest is given up; its claim then
// stays "may have run", which is safe.
constexpr std::size_t kMaxPendingUpdates = 10'000;

struct ClaimRow {
  std::string body_digest;
  std::string nonce;
  std::optional<StoredResponse> response;
};

std::string EncodeClaimRow(const Claim& claim,
                           const InstanceId& owner,
                           const std::optional<StoredResponse>& response) {
  Json row = {
      {"body_digest", claim.body_digest},
      {"nonce", claim.nonce},
      {"owner", owner.value()},
      {"unix_seconds", std::chrono::duration_cast<std::chrono::seconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()}};
  if (response) {
    row["answer"] = {{"status", response->status},
                     {"content_type", response->content_type},
                     {"body", response->body}};
  }
  return row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRow> DecodeClaimRow(const std::string& text) {
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_object())
    return std::nullopt;
  ClaimRow decoded{row.value("body_digest", ""), row.value("nonce", ""), {}};
  if (row.contains("answer")) {
    const Json& response = row["answer"];
    decoded.response = StoredResponse{response.value("status", 0),
                                      response.value("content_type", ""),
                                      response.value("body", "")};
  }
  return decoded;
}

Error StoreUnavailableError() {
  return {ErrorCode::kStoreUnavailable, RunVerdict::kNotRun,
          "the platform's store does not answer; the call was not sent",
          std::chrono::seconds(2)};
}

}  // namespace

ClaimStore::ClaimStore(TableStore& table, InstanceId self, Millis timeout)
    : table_(table), self_(std::move(self)), timeout_(timeout) {}

std::string ClaimStore::MakeRowKey(const std::string& customer,
                                   const std::string& path,
                                   const std::string& idempotency_key) {
  return "claim/" + customer + "/" + Sha256Hex(path + '\n' + idempotency_key);
}

Result<ClaimOutcome> ClaimStore::Acquire(const std::string& row_key,
                                         const std::string& body_digest) {
  Claim claim{row_key, body_digest, RandomHex(kNonceBytes), RowVersion(1)};
  Transaction insert;
  insert.ExpectAbsent(row_key).Put(row_key, EncodeClaimRow(claim, self_, {}));
  const auto committed = table_.Commit(insert, timeout_);
  if (committed && committed.value() == CommitOutcome::kCommitted)
    return ClaimOutcome(std::move(claim));
  if (!committed && committed.error().verdict == RunVerdict::kNotRun)
    return StoreUnavailableError();

  // Either somebody has the claim, or the answer to our own insert was lost;
  // the nonce tells which.
  const auto row = table_.Read(row_key, timeout_);
  if (!row) {
    if (!committed)
      Update({claim, std::nullopt});
    return StoreUnavailableError();
  }
  if (!row.value())
    return StoreUnavailableError();
  const auto decoded = DecodeClaimRow(row.value()->value);
  if (!decoded)
    return ClaimOutcome(ClaimInProgress());
  if (decoded->nonce == claim.nonce) {
    claim.version = row.value()->version;
    return ClaimOutcome(std::move(claim));
  }
  if (decoded->body_digest != body_digest)
    return ClaimOutcome(ClaimBodyMismatch());
  if (decoded->response)
    return ClaimOutcome(*decoded->response);
  return ClaimOutcome(ClaimInProgress());
}

std::size_t ClaimStore::RetryPendingUpdates() {
  std::vector<ClaimUpdate> updates;
  {
    const std::lock_guard lock(mutex_);
    updates.swap(pending_updates_);
  }
  for (ClaimUpdate& update : updates)
    Update(std::move(update));
  const std::lock_guard lock(mutex_);
  return pending_updates_.size();
}

bool ClaimStore::TryUpdate(const ClaimUpdate& update) {
  // Conditional on the row that holds our nonce, so that a claim which another
  // router took after a removal is never touched.
  const auto row = table_.Read(update.claim.row_key, timeout_);
  if (!row)
    return false;
  if (!row.value())
    return true;
  const auto decoded = DecodeClaimRow(row.value()->value);
  if (!decoded || decoded->nonce != update.claim.nonce)
    return true;
  Transaction change;
  change.Expect(update.claim.row_key, row.value()->version);
  if (update.response)
    change.Put(update.claim.row_key,
               EncodeClaimRow(update.claim, self_, update.response));
  else
    change.Delete(update.claim.row_key);
  return table_.Commit(change, timeout_).has_value();
}

void ClaimStore::Update(ClaimUpdate update) {
  if (!TryUpdate(update))
    QueueUpdate(std::move(update));
}

void ClaimStore::QueueUpdate(ClaimUpdate update) {
  Log(kClaimRepairPending, {{"row", update.claim.row_key}});
  const std::lock_guard lock(mutex_);
  if (pending_updates_.size() >= kMaxPendingUpdates)
    pending_updates_.erase(pending_updates_.begin());
  pending_updates_.push_back(std::move(update));
}

}  // namespace bamboomount
