#ifndef GATEWAY_STREAMS_POOL_VERSION_HISTORY_H_
#define GATEWAY_STREAMS_POOL_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <set>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// Which software versions the backend servers of each pool have had lately, as
// far as this instance has seen without a gap. Not thread-safe.
class PoolVersionHistory {
 public:
  static constexpr Millis kMaxUnconfirmed{1500};

  // The software versions of the servers that are listed, by pool.
  using ListedVersions = std::map<PoolId, std::set<SoftwareVersion>>;

  // Records the servers that are listed from now on. Called after each change
  // of the list.
  void SetListed(ListedVersions listed, Instant now);
  // Records that nothing is known of the time before `now`: the list of servers
  // has been read anew, after a start or a gap in its changes.
  void RecordGap(Instant now);
  // Records that the list of servers is confirmed as of `time`, which may be
  // earlier than the arrival of the news. After more than kMaxUnconfirmed
  // without, a server may have come and left unseen.
  void RecordConfirmed(Instant time);
  // Whether the list has been confirmed as of `time` or later.
  bool IsConfirmedSince(Instant time) const {
    return confirmed_at_ && *confirmed_at_ >= time;
  }
  // Whether no server can have come and left unseen between `time` and the last
  // confirmation.
  bool IsCompleteSince(Instant time) const {
    return complete_since_ && *complete_since_ <= time;
  }
  // The versions of servers that are listed, or were within the lifetime of a
  // stream.
  std::set<SoftwareVersion> RecentVersions(const PoolId& pool,
                                           Instant now) const;
  // The version at which every stream of the pool that may still be resumed had
  // begun by the last confirmation. Empty if there may have been several, or if
  // the history does not reach back far enough.
  std::optional<SoftwareVersion> OnlyVersion(const PoolId& pool,
                                             Instant now) const;
  // Whether servers of several versions have been seen within the lifetime of a
  // stream.
  bool HasSeveral(const PoolId& pool, Instant now) const;

 private:
  std::optional<Instant> complete_since_;
  std::optional<Instant> confirmed_at_;
  ListedVersions listed_;
  // When the last server of a version that is no longer listed left the list.
  std::map<PoolId, std::map<SoftwareVersion, Instant>> left_at_;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_POOL_VERSION_HISTORY_H_
