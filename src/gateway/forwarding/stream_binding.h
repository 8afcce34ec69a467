#ifndef GATEWAY_FORWARDING_STREAM_BINDING_H_
#define GATEWAY_FORWARDING_STREAM_BINDING_H_

#include <optional>
#include <string_view>

#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/message_protocol.h"
#include "gateway/forwarding/request_admission.h"

namespace bamboomount {

// Binds the stream of one request to the pool and the software version that
// began it, so that no server of another version continues it. A stream is
// bound when its first event is forwarded or, if the caller resumes it, before
// a server is chosen. Not thread-safe.
class StreamBinding {
 public:
  // All must outlive this object; `head` and `request` may be set later.
  StreamBinding(Dispatcher& dispatcher,
                const CallerHead& head,
                AdmittedRequest& request)
      : dispatcher_(dispatcher), head_(head), request_(request) {}

  // Whether the caller resumes a stream.
  bool IsResume() const;
  // Finds out where the resumed stream began; see StreamOriginDirectory::Find.
  void Locate(StreamOriginDirectory::Callback done);
  // Binds the request to the origin. Returns the reason if the stream can't be
  // resumed.
  std::optional<std::string_view> BindTo(
      const std::optional<StreamOrigin>& origin);
  // Records that the request is being sent to a server.
  void RecordSent();
  // Binds the stream to the server whose events are forwarded, unless that was
  // done, and records its origin. The server's version is known if its row was
  // current when the request was sent, or is current now and of the same
  // process; until then nothing continues the stream.
  void RecordBegin(const PoolId& pool, const BackendServer& server);

  // Whether servers for the rest of a bound stream are known; true if the
  // stream is not bound.
  bool KnowsServers() const;
  // Whether the server may get the request now. It may have started to leave
  // since it was chosen, or again under its id with another version.
  bool Accepts(const BackendServer& server) const;

 private:
  bool MayUsePool(const PoolId& pool) const;
  bool ListIsCurrent() const;
  // Whether the server is listed with the same version and process.
  bool IsListedAlike(const BackendServer& server) const;

  Dispatcher& dispatcher_;
  const CallerHead& head_;
  AdmittedRequest& request_;
  bool recorded_ = false;
  bool sent_by_current_list_ = false;
  bool origin_is_known_ = true;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_STREAM_BINDING_H_
