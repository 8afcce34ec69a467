#ifndef GATEWAY_PLACEMENT_BRITTLE_SERVERS_H_
#define GATEWAY_PLACEMENT_BRITTLE_SERVERS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/membership/member_registry.h"
#include "gateway/placement/backend_loads.h"

namespace bamboomount {

// Keeps all instances together from making a brittle backend server reject many
// requests for want of room: one that rejects more than it says in a second
// falls over. Not thread-safe.
//
// A brittle server gets a request only if it is known to have a free slot. The
// loads that other instances report are some time old, so several instances may
// see the same free slot. Each one therefore claims its share of the free slots
// by chance; a slot that one of its own requests has just left is its own,
// because the others still count it as taken. Few requests may be without an
// answer for as long as a rejection takes, and after a rejection the instance
// sends nothing for a time that doubles until a request is accepted.
class BrittleServers {
 public:
  // A pool is brittle for this time after the last answer that said so. Longer
  // than a server that fell over takes to return.
  static constexpr Millis kStatementLifetime{10'000};
  // The second in which a server counts its rejections, and a margin for delays
  // on the way to it.
  static constexpr Millis kWindow{1100};
  // A rejection arrives within this time after the request was sent.
  static constexpr Millis kRejectionTime{50};
  // Age of the loads that others report, in a fleet in which each round of
  // gossip reaches all instances.
  static constexpr Millis kReportAge{200};

  // `loads` and `members` must outlive this object.
  BrittleServers(const BackendLoads& loads,
                 const MemberRegistry& members,
                 std::uint64_t seed)
      : loads_(loads), members_(members), random_(seed) {}

  // Records that a server of the pool says that it falls over once it rejects
  // more than `max_rejections` requests in a second. Returns whether the pool
  // was not known to be brittle.
  bool RecordStatement(const PoolId& pool, int max_rejections, Instant now);
  bool IsBrittle(const PoolId& pool, Instant now) const;
  // Whether this instance may send a request to the server now; true if its
  // pool is not brittle.
  bool MaySend(const BackendServer& server, Instant now);

  // Records that a request is sent to the server.
  void RecordSent(const BackendServer& server, Instant now);
  // Records that the server rejected the request that was sent at `sent_at` for
  // want of room.
  void RecordRejected(const BackendId& server,
                      const PoolId& pool,
                      Instant sent_at,
                      Instant now);
  // Records that the server began to answer the request.
  void RecordAccepted(const BackendId& server, Instant sent_at);
  // Records that the request has ended. `accepted`: RecordAccepted() was called
  // for it.
  void RecordEnded(const BackendId& server,
                   const PoolId& pool,
                   bool accepted,
                   Instant sent_at,
                   Instant now);
  // Removes records that no longer matter.
  void Expire(Instant now);

 private:
  struct Statement {
    int max_rejections = 0;
    Instant expires_at;
  };
  // What this instance knows of one server.
  struct Record {
    // When the requests that have no answer yet were sent.
    std::deque<Instant> unanswered;
    // When the last accepted requests ended.
    std::deque<Instant> freed;
    // When the last rejections arrived.
    std::deque<Instant> rejected;
    // Pauses since a request was last accepted.
    int pauses_in_row = 0;
    Instant paused_at;
    Instant paused_until;
    // How much of a free slot this instance may claim; 1 is a whole slot.
    double credit = 0;
    Instant credit_updated_at;
  };

  // Age of the reported loads in a fleet of this size.
  Millis ReportAge() const;
  // The rejections in a second that this instance may cause at each server of
  // the pool.
  double RejectionShare(const PoolId& pool) const;
  void Refresh(Record& record, int free_slots, Instant now);
  void UpdateCredit(Record& record, int free_slots, Instant now);
  void Pause(Record& record, double share, Instant now);
  static void RemoveUnanswered(Record& record, Instant sent_at);

  const BackendLoads& loads_;
  const MemberRegistry& members_;
  std::mt19937_64 random_;
  std::map<PoolId, Statement> statements_;
  std::map<BackendId, Record> records_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_BRITTLE_SERVERS_H_
