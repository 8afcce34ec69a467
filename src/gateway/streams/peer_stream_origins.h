#ifndef GATEWAY_STREAMS_PEER_STREAM_ORIGINS_H_
#define GATEWAY_STREAMS_PEER_STREAM_ORIGINS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/streams/local_stream_origins.h"
#include "gateway/streams/stream_origin_handler.h"
#include "gateway/streams/stream_origin_message.h"

namespace bamboomount {

// Origins of streams as far as the fleet can tell. Each stream is copied, when
// it begins, to kCopies other instances, which rendezvous hashing of its id
// chooses, so that it can be resumed after its instance has failed. A resume
// asks the first kAsked instances in that order, more than have copies, because
// instances start and leave. Messages may be lost: a query is repeated once.
//
// A stream that nobody has recorded goes on at the only version of its pool, if
// the list of servers proves that there was no other. Those that know better
// may be out of reach, and any list from before the query may be older than the
// stream. So the list must be confirmed after the query began, which is waited
// for, and no server may have come and left unseen during the lifetime of a
// stream. Others may vouch for the time up to kMaxUnconfirmed before the query.
// Runs on the thread of the io_context.
class PeerStreamOrigins : public StreamOriginDirectory,
                          public StreamOriginHandler {
 public:
  static constexpr std::size_t kCopies = 3;
  static constexpr std::size_t kAsked = 5;
  // Time without all replies after which a query is sent again, and after which
  // no more are waited for.
  static constexpr Millis kRepeatAfter{40};
  static constexpr Millis kGiveUpAfter{100};
  // How long after its begin a query waits for the list to be confirmed, unless
  // the list is so old that the store is likely out of reach.
  static constexpr Millis kConfirmWithin{1500};
  static constexpr Millis kConfirmCheckInterval{20};

  using Sender = std::function<void(const Member& target,
                                    const StreamOriginMessage& message)>;

  // `state` must outlive this object.
  PeerStreamOrigins(asio::io_context& context,
                    GatewayState& state,
                    Sender sender);

  void Record(const RequestId& stream, const StreamOrigin& origin) override;
  void Find(const RequestId& stream,
            const PoolId& pool,
            Callback done) override;
  void OnMessage(const StreamOriginMessage& message,
                 const Member& sender) override;

 private:
  struct Query {
    Query(asio::io_context& context, StreamOriginTable::Entry entry)
        : subject(std::move(entry)), timer(context) {}

    StreamOriginTable::Entry subject;
    Callback done;
    Instant asked_at = BootClock::now();
    // Instances that have not replied.
    std::set<InstanceId> open;
    bool several = false;
    std::set<SoftwareVersion> only;
    asio::steady_timer timer;
  };

  // The first `count` other instances for the stream.
  std::vector<const Member*> Holders(const RequestId& stream,
                                     std::size_t count) const;
  void SendQuery(std::uint64_t number, const Query& query);
  // Calls `step` after the delay unless the query has ended.
  void ScheduleStep(std::uint64_t number,
                    Millis delay,
                    void (PeerStreamOrigins::*step)(std::uint64_t));
  void Repeat(std::uint64_t number);
  void Answer(const StreamOriginMessage& query, const Member& sender);
  void OnReply(const StreamOriginMessage& reply);
  // Ends the query with what the replies allow, once the list is confirmed.
  void Conclude(std::uint64_t number);
  void End(std::uint64_t number, const std::optional<StreamOrigin>& origin);
  // The only version at which the stream can have begun, provided that the list
  // proves that there has been no other lately; empty if there may be several.
  std::optional<SoftwareVersion> OnlyVersion(const Query& query) const;
  StreamOriginMessage NewMessage(StreamOriginMessage::Kind kind) const;

  asio::io_context& context_;
  GatewayState& state_;
  const Sender send_;
  LocalStreamOrigins local_;
  std::map<std::uint64_t, std::unique_ptr<Query>> queries_;
  std::uint64_t last_query_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_STREAMS_PEER_STREAM_ORIGINS_H_
