#include "gateway/forwarding/stream_binding.h"

#include <algorithm>
#include <utility>

#include "gateway/forwarding/request_log.h"

namespace bamboomount {

bool StreamBinding::IsResume() const {
  return IsStream(request_.route->kind) &&
         !(head_.last_event_id.empty() && head_.resumed_request.empty());
}

void StreamBinding::Locate(StreamOriginDirectory::Callback done) {
  const std::vector<PoolShare>& shares = request_.route->shares;
  const PoolId only_pool = shares.size() == 1 ? shares.front().pool : PoolId();
  dispatcher_.stream_origins().Find(head_.resumed_request, only_pool,
                                    std::move(done));
}

std::optional<std::string_view> StreamBinding::BindTo(
    const std::optional<StreamOrigin>& origin) {
  LogResumed(head_, origin);
  if (!origin)
    return "the software version that began the stream is unknown";
  if (!MayUsePool(origin->pool))
    return "the route no longer leads to the pool of the stream";
  if (!dispatcher_.state().backends().Lists(origin->pool, origin->version))
    return "no server has the software version of the stream";
  request_.stream_version = origin->version;
  if (!KnowsServers())
    return "the software versions of the servers are out of date";
  return std::nullopt;
}

bool StreamBinding::MayUsePool(const PoolId& pool) const {
  const std::vector<PoolShare>& shares = request_.route->shares;
  return std::any_of(
      shares.begin(), shares.end(),
      [&pool](const PoolShare& share) { return share.pool == pool; });
}

void StreamBinding::RecordSent() {
  sent_by_current_list_ = ListIsCurrent();
}

void StreamBinding::RecordBegin(const PoolId& pool,
                                const BackendServer& server) {
  if (recorded_ || request_.route->kind != RequestKind::kResumableStream)
    return;
  request_.stream_version = server.version;
  origin_is_known_ =
      sent_by_current_list_ || (ListIsCurrent() && IsListedAlike(server));
  if (!origin_is_known_)
    return;
  recorded_ = true;
  const RequestId& stream = IsResume() ? head_.resumed_request : head_.id;
  if (!stream.empty())
    dispatcher_.stream_origins().Record(stream, {pool, server.version});
}

bool StreamBinding::KnowsServers() const {
  return !request_.stream_version || (origin_is_known_ && ListIsCurrent());
}

bool StreamBinding::Accepts(const BackendServer& server) const {
  const BackendServer* listed = dispatcher_.state().backends().Find(server.id);
  return dispatcher_.AcceptsRequests(server.id) && listed &&
         listed->version == server.version && KnowsServers();
}

bool StreamBinding::ListIsCurrent() const {
  return dispatcher_.state().BackendVersionsAreCurrent(BootClock::now());
}

bool StreamBinding::IsListedAlike(const BackendServer& server) const {
  const BackendServer* listed = dispatcher_.state().backends().Find(server.id);
  return listed && listed->version == server.version &&
         IsSameProcess(listed->started_at_ms, server.started_at_ms);
}

}  // namespace bamboomount
