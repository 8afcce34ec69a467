#ifndef CHECK_ATTEMPTS_WORLD_H_
#define CHECK_ATTEMPTS_WORLD_H_

#include <array>
#include <functional>
#include <memory>
#include <set>
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
// once, all from one software version; a stream that the caller resumes goes on
// at the version that began it, or not at all if that is unknown; the request
// arrives unchanged; every request ends.
class AttemptsWorld {
 public:
  static constexpr std::size_t kServers = 3;
  using Versions = std::array<const char*, kServers>;
  // Whether the request resumes a stream that another one began.
  enum class Resumption { kNone, kOfKnownOrigin, kOfUnknownOrigin };
  struct Options {
    RequestKind kind = RequestKind::kIdempotent;
    int attempts = 1;
    // Software versions of the servers. A resumed stream began at the first.
    Versions versions{"v1", "v1", "v1"};
    Resumption resumption = Resumption::kNone;
  };

  explicit AttemptsWorld(const Options& options);
  ~AttemptsWorld();

  std::vector<std::string> Steps() const;
  void Take(std::size_t step);
  std::string State() const { return history_; }
  std::string Violation() const { return violation_; }

 private:
  class Reply;
  struct Server {
    BackendId id;
    std::string version;
    std::unique_ptr<fuzz::Wire> wire;
    bool has_acted = false;
  };
  // What a request asks of a server.
  struct Work {
    bool is_stream = false;
    // The event of the stream after which the server begins.
    int place = 0;
    std::string version;
  };
  struct Behaviour {
    const char* name;
    // Whether the server may have run the request.
    bool runs;
    bool closes;
    // What the server sends.
    std::function<std::string(const Work& work)> answer;
  };

  static const std::vector<Behaviour>& Behaviours();
  static std::string Success(const Work& work);
  static std::string BrokenSuccess(const Work& work);
  static std::string SpoiltSuccess(const Work& work);
  // The server that has the request; null if none has.
  Server* ServerWithRequest() const;
  void CheckRequest(const fuzz::StrictMessage& request, const Server& server);
  void CheckReply();
  void CheckStream();
  // The software versions whose pieces are in the answer.
  std::set<std::string> VersionsIn(const std::string& pieces) const;
  void Fail(const std::string& property);

  const Options options_;
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
