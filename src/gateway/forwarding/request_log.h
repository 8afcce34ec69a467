#ifndef GATEWAY_FORWARDING_REQUEST_LOG_H_
#define GATEWAY_FORWARDING_REQUEST_LOG_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/boot_clock.h"
#include "gateway/forwarding/message_protocol.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/forwarding/retry_rules.h"
#include "gateway/streams/stream_origin_directory.h"

namespace bamboomount {

// The choice of a backend server for a request, and what decided it.
struct PlacementRecord {
  BackendId server;
  // Requests at the server, this one included.
  int load = 0;
  // Prompt tokens that the server has to prefill.
  Tokens unread_tokens;
  // The server that the shared prefix is copied from; empty if none.
  BackendId copy_from;
  // Empty if the configuration was never confirmed.
  std::optional<Millis> config_age;
};

// How an attempt at a backend server failed.
struct AttemptFailure {
  std::string_view cause;
  // Whether the server may have run the request: "no" or "unknown".
  std::string_view ran;
  // Status of the response, 0 if no head was received; empty if that is not
  // known.
  std::optional<unsigned> status;
};

// A response of this instance's own.
struct RefusalRecord {
  unsigned status = 0;
  std::string_view reason;
  AttemptHistory history;
  // Set if the caller may retry.
  std::optional<Millis> retry_after;
};

// How a request ended that was not refused.
struct EndRecord {
  std::string_view outcome;
  unsigned status = 0;
  // From the arrival of the request.
  Millis time_to_first_bytes{0};
  Millis longest_pause{0};
  Millis total{0};
};

// Each function writes the log line of one decision about a request.
void LogPlaced(const CallerHead& head,
               const AdmittedRequest& request,
               const PlacementRecord& placement);
// `instance` is the one that the request is sent to.
void LogRelayed(const RequestId& request, const BackendId& instance);
// `origin` is empty if the stream's is not known.
void LogResumed(const CallerHead& head,
                const std::optional<StreamOrigin>& origin);
void LogAttemptFailed(const RequestId& request,
                      const BackendId& server,
                      const AttemptFailure& failure);
// `route` is empty if none was found.
void LogRefused(const RequestId& request,
                const std::string& route,
                const RefusalRecord& refusal);
void LogEnded(const RequestId& request, const EndRecord& end);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_REQUEST_LOG_H_
