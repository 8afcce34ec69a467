#ifndef CHECK_ATTEMPTS_WORLD_H_
#define CHECK_ATTEMPTS_WORLD_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fuzz/strict_http_reader.h"
#include "fuzz/wire.h"
#include "gateway/forwarding/exchange.h"
#include "platform/http_message_protocol.h"

namespace bamboomount::check {

// One request of a caller, served by the real Exchange, and three servers, each
// of which answers, refuses, fails or breaks off as the path says.
//
// Properties: work that may run once runs at most once, other work at no more
// servers than its route allows; a refusal that callers take for "not run" is
// true; an answer is that of one server, whole, and a stream has each piece
// once; the request arrives unchanged; every request ends.
class AttemptsWorld {
 public:
  AttemptsWorld(RequestKind kind, int attempts);
  ~AttemptsWorld();

  std::vector<std::string> Steps() const;
  void Take(std::size_t step);
  std::string State() const { return history_; }
  std::string Violation() const { return violation_; }

 private:
  static constexpr std::size_t kServers = 3;

  class Reply;
  struct Server {
    BackendId id;
    std::unique_ptr<fuzz::Wire> wire;
    bool has_acted = false;
  };
  struct Behaviour {
    const char* name;
    // Whether the server may have run the request.
    bool runs;
    bool closes;
    // What the server sends: for a stream, the events after `place`.
    std::function<std::string(bool is_stream, int place)> answer;
  };

  static const std::vector<Behaviour>& Behaviours();
  // The server that has the request; null if none has.
  Server* ServerWithRequest() const;
  void CheckRequest(const fuzz::StrictMessage& request, const Server& server);
  void CheckReply();
  void CheckStream();
  void Fail(const std::string& property);

  const RequestKind kind_;
  const int attempts_;
  asio::io_context context_;
  HttpMessageProtocol protocol_;
  Metrics metrics_;
  std::unique_ptr<GatewayState> state_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::array<Server, kServers> servers_;
  std::shared_ptr<Reply> reply_;
  std::weak_ptr<Exchange> exchange_;
  int runs_ = 0;
  std::string history_;
  std::string violation_;
};

}  // namespace bamboomount::check

#endif  // CHECK_ATTEMPTS_WORLD_H_
