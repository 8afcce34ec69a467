#include "gateway/streams/peer_stream_origins.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous_hash.h"

namespace bamboomount {

PeerStreamOrigins::PeerStreamOrigins(asio::io_context& context,
                                     GatewayState& state,
                                     Sender sender)
    : context_(context),
      state_(state),
      send_(std::move(sender)),
      local_(state) {}

void PeerStreamOrigins::Record(const RequestId& stream,
                               const StreamOrigin& origin) {
  local_.Record(stream, origin);
  StreamOriginMessage message = NewMessage(StreamOriginMessage::Kind::kRecords);
  message.entries.push_back({stream, origin});
  for (const Member* holder : Holders(stream, kCopies))
    send_(*holder, message);
}

void PeerStreamOrigins::Find(const RequestId& stream,
                             const PoolId& pool,
                             Callback done) {
  if (const auto recorded = local_.FindRecorded(stream, BootClock::now())) {
    done(recorded);
    return;
  }
  const std::uint64_t number = ++last_query_;
  auto query = std::make_unique<Query>(
      context_, StreamOriginTable::Entry{stream, {pool, SoftwareVersion()}});
  query->done = std::move(done);
  for (const Member* holder : Holders(stream, kAsked))
    query->open.insert(holder->instance);
  const bool asks = !query->open.empty();
  SendQuery(number, *query);
  queries_.emplace(number, std::move(query));
  if (asks)
    ScheduleStep(number, kRepeatAfter, &PeerStreamOrigins::Repeat);
  else
    Conclude(number);
}

void PeerStreamOrigins::SendQuery(std::uint64_t number, const Query& query) {
  StreamOriginMessage message = NewMessage(StreamOriginMessage::Kind::kQuery);
  message.query = number;
  message.entries.push_back(query.subject);
  for (const InstanceId& instance : query.open) {
    if (const Member* member = state_.members().Find(instance))
      send_(*member, message);
  }
}

void PeerStreamOrigins::ScheduleStep(
    std::uint64_t number,
    Millis delay,
    void (PeerStreamOrigins::*step)(std::uint64_t)) {
  asio::steady_timer& timer = queries_.at(number)->timer;
  timer.expires_after(delay);
  timer.async_wait([this, number, step](const error_code& error) {
    if (!error && queries_.contains(number))
      (this->*step)(number);
  });
}

void PeerStreamOrigins::Repeat(std::uint64_t number) {
  SendQuery(number, *queries_.at(number));
  ScheduleStep(number, kGiveUpAfter - kRepeatAfter,
               &PeerStreamOrigins::Conclude);
}

void PeerStreamOrigins::OnMessage(const StreamOriginMessage& message,
                                  const Member& sender) {
  const Instant now = BootClock::now();
  switch (message.kind) {
    case StreamOriginMessage::Kind::kRecords:
      for (const auto& entry : message.entries)
        state_.stream_origins().Record(entry.stream, entry.origin, now);
      return;
    case StreamOriginMessage::Kind::kQuery:
      Answer(message, sender);
      return;
    case StreamOriginMessage::Kind::kReply:
      OnReply(message);
      return;
  }
}

void PeerStreamOrigins::Answer(const StreamOriginMessage& query,
                               const Member& sender) {
  if (query.entries.empty())
    return;
  const Instant now = BootClock::now();
  const StreamOriginTable::Entry& subject = query.entries.front();
  StreamOriginMessage reply = NewMessage(StreamOriginMessage::Kind::kReply);
  reply.query = query.query;
  if (const auto recorded = local_.FindRecorded(subject.stream, now)) {
    reply.answer = StreamOriginAnswer::kRecorded;
    reply.entries.push_back({subject.stream, *recorded});
  } else if (const auto only = local_.OnlyOrigin(subject.origin.pool, now)) {
    reply.answer = StreamOriginAnswer::kOnlyVersion;
    reply.entries.push_back({subject.stream, *only});
  } else if (state_.pool_versions().HasSeveral(subject.origin.pool, now)) {
    reply.answer = StreamOriginAnswer::kSeveralVersions;
  }
  send_(sender, reply);
}

void PeerStreamOrigins::OnReply(const StreamOriginMessage& reply) {
  const auto found = queries_.find(reply.query);
  if (found == queries_.end())
    return;
  Query& query = *found->second;
  const bool names_version = !reply.entries.empty();
  // A late reply to an earlier process of this instance may have the number of
  // a query of this one.
  if (names_version && reply.entries.front().stream != query.subject.stream)
    return;
  if (query.open.erase(reply.sender) == 0)
    return;
  if (reply.answer == StreamOriginAnswer::kRecorded && names_version) {
    local_.Record(query.subject.stream, reply.entries.front().origin);
    End(reply.query, reply.entries.front().origin);
    return;
  }
  if (reply.answer == StreamOriginAnswer::kOnlyVersion && names_version)
    query.only.insert(reply.entries.front().origin.version);
  query.several |= reply.answer == StreamOriginAnswer::kSeveralVersions;
  if (query.open.empty())
    Conclude(reply.query);
}

void PeerStreamOrigins::Conclude(std::uint64_t number) {
  const Query& query = *queries_.at(number);
  const Instant now = BootClock::now();
  const auto version = OnlyVersion(query);
  if (version && state_.pool_versions().IsConfirmedSince(query.asked_at))
    End(number, StreamOrigin{query.subject.origin.pool, *version});
  else if (version && state_.BackendVersionsAreCurrent(now) &&
           now - query.asked_at < kConfirmWithin)
    ScheduleStep(number, kConfirmCheckInterval, &PeerStreamOrigins::Conclude);
  else
    End(number, std::nullopt);
}

void PeerStreamOrigins::End(std::uint64_t number,
                            const std::optional<StreamOrigin>& origin) {
  const auto query = std::move(queries_.extract(number).mapped());
  query->timer.cancel();
  query->done(origin);
}

std::optional<SoftwareVersion> PeerStreamOrigins::OnlyVersion(
    const Query& query) const {
  const PoolVersionHistory& history = state_.pool_versions();
  // Others vouch for the time until their lists were confirmed.
  const Millis own_reach = query.only.empty()
                               ? StreamOriginTable::kStreamLifetime
                               : PoolVersionHistory::kMaxUnconfirmed;
  if (query.several || !history.IsCompleteSince(query.asked_at - own_reach))
    return std::nullopt;
  std::set<SoftwareVersion> versions =
      history.RecentVersions(query.subject.origin.pool, BootClock::now());
  versions.insert(query.only.begin(), query.only.end());
  if (versions.size() != 1)
    return std::nullopt;
  return *versions.begin();
}

std::vector<const Member*> PeerStreamOrigins::Holders(const RequestId& stream,
                                                      std::size_t count) const {
  std::vector<std::pair<std::uint64_t, const Member*>> weighted;
  for (const Member* member : state_.members().All()) {
    if (member->instance == state_.settings().instance ||
        member->peer_address.empty())
      continue;
    weighted.emplace_back(
        RendezvousWeight(stream.value(), member->instance.value()), member);
  }
  const std::size_t kept = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                    weighted.end(), std::greater<>());
  std::vector<const Member*> holders;
  for (std::size_t i = 0; i < kept; ++i)
    holders.push_back(weighted[i].second);
  return holders;
}

StreamOriginMessage PeerStreamOrigins::NewMessage(
    StreamOriginMessage::Kind kind) const {
  StreamOriginMessage message;
  message.kind = kind;
  message.sender = state_.settings().instance;
  return message;
}

}  // namespace bamboomount
