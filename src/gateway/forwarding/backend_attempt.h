#ifndef GATEWAY_FORWARDING_BACKEND_ATTEMPT_H_
#define GATEWAY_FORWARDING_BACKEND_ATTEMPT_H_

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "gateway/forwarding/backend_connection_pool.h"
#include "gateway/forwarding/message_protocol.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

enum class AttemptOutcome {
  // The whole reply has arrived.
  kComplete,
  // No byte of the request was sent.
  kNotSent,
  // The same, since nobody listens at the address.
  kConnectionRefused,
  // The request was sent, at least in part, and no whole reply arrived.
  kInterrupted,
};

// Follows one attempt. No call comes after OnAttemptEnd or Cancel.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;

  // Called right before the first byte is sent. Returns the head of the
  // request, or nothing if it must not be sent any more.
  virtual std::optional<std::string> PrepareHead() = 0;
  // The request's body; valid until the attempt ends.
  virtual const std::string& request_body() const = 0;
  virtual void OnReplyHead(const http::response_header<>& header,
                           const ReplyHead& head,
                           std::optional<std::uint64_t> content_length) = 0;
  // Returns whether to read on; otherwise the attempt waits for Resume.
  virtual bool OnReplyBody(std::string_view piece) = 0;
  virtual void OnAttemptEnd(AttemptOutcome outcome) = 0;
};

// What attempts need besides their request.
struct AttemptEnvironment {
  asio::io_context& context;
  const MessageProtocol& protocol;
  BackendConnectionPool& connections;
};

// Sends one request to one backend server and reads the reply. Replies to other
// requests that arrive on the connection are skipped.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
 public:
  struct Options {
    RequestId id;
    // A HEAD request's reply has no body whatever its header says.
    bool head_request = false;
    // Only a connection that the server surely still holds open.
    bool fresh_connection = false;
  };

  BackendAttempt(const AttemptEnvironment& environment,
                 const BackendServer& server,
                 Options options,
                 AttemptObserver& observer);
  ~BackendAttempt();
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  void Start();
  // Reads on after OnReplyBody returned false.
  void Resume();
  // Closes the connection, which makes the server drop the request.
  void Cancel();

  const BackendServer& server() const { return server_; }
  // Whether a byte of the request may have reached the server.
  bool sent() const { return sent_; }
  // Whether the connection had served another request before.
  bool reused() const { return reused_; }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  void Connect();
  void SendRequest();
  void ReadHead();
  void OnHead();
  void ReadBody();
  void OnBodyRead(const error_code& error);
  void FinishReply();
  void EndAttempt(AttemptOutcome outcome);
  void CloseConnection();

  AttemptEnvironment environment_;
  const BackendServer server_;
  const Options options_;
  AttemptObserver* observer_;
  std::unique_ptr<BackendConnection> connection_;
  asio::steady_timer connect_timer_;
  std::optional<Parser> parser_;
  std::array<char, 8192> chunk_{};
  std::string request_head_;
  Millis idle_timeout_{0};
  bool sent_ = false;
  bool reused_ = false;
  bool write_done_ = false;
  // The reply that is being read answers another request.
  bool mismatched_reply_ = false;
  int mismatched_replies_ = 0;
  bool close_counted_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_BACKEND_ATTEMPT_H_
