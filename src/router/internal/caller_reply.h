#ifndef ROUTER_INTERNAL_CALLER_REPLY_H_
#define ROUTER_INTERNAL_CALLER_REPLY_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "router/internal/asio.h"
#include "router/internal/running_request.h"

namespace bamboomount {

struct ReplyHeader {
  std::string name;
  std::string value;
};

// A complete reply to a caller.
struct BufferedReply {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<ReplyHeader> headers;
  std::string body;
};

// The caller's side of one request. Each method returns false once the caller
// cannot be reached; exactly one of Send and BeginStream may be called.
class CallerReply {
 public:
  virtual ~CallerReply() = default;

  // Cancels `request` with kCallerGone when the caller closes its connection.
  virtual void CancelOnDisconnect(std::shared_ptr<RunningRequest> request) = 0;

  virtual asio::awaitable<bool> Send(const BufferedReply& reply) = 0;

  // Starts a reply of unknown length, sent as it is made.
  virtual asio::awaitable<bool> BeginStream(
      const std::string& content_type,
      const std::vector<ReplyHeader>& headers) = 0;
  virtual asio::awaitable<bool> SendChunk(std::string_view data) = 0;
  // Ends the stream so that the caller sees it as complete.
  virtual asio::awaitable<bool> EndStream() = 0;
  // Breaks the connection, so that no caller takes the stream as complete.
  virtual void AbortStream() = 0;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CALLER_REPLY_H_
