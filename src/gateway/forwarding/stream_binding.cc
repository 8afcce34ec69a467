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

void StreamBinding::RecordBegin(const PoolId& pool,
                                const BackendServer& server) {
  if (recorded_ || request_.route->kind != RequestKind::kResumableStream)
    return;
  recorded_ = true;
  request_.stream_version = server.version;
  const RequestId& stream = IsResume() ? head_.resumed_request : head_.id;
  if (!stream.empty())
    dispatcher_.stream_origins().Record(stream, {pool, server.version});
}

bool StreamBinding::KnowsServers() const {
  return !request_.stream_version ||
         dispatcher_.state().BackendVersionsAreCurrent(BootClock::now());
}

bool StreamBinding::Accepts(const BackendServer& server) const {
  const BackendServer* listed = dispatcher_.state().backends().Find(server.id);
  return dispatcher_.AcceptsRequests(server.id) && listed &&
         listed->version == server.version && KnowsServers();
}

}  // namespace bamboomount
