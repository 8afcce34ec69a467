#include "check/attempts_world.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace bamboomount::check {
namespace {

constexpr char kBody[] = "the body";
constexpr char kAnswer[] = "the answer";
constexpr int kEvents = 3;
constexpr char kSealed[] =
    "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: r1\r\n"
    "X-Bamboomount-Response-Seal: s\r\n";
constexpr char kPlain[] = "\r\nX-Bamboomount-Request-Id: r1\r\n";
constexpr char kNotRun[] = "X-Bamboomount-Not-Executed: 1\r\n";
constexpr char kNoBody[] = "Content-Length: 0\r\n\r\n";

std::string Chunk(const std::string& data) {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

std::string Event(int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: piece " + text + "\n\n";
}

std::string StreamHead() {
  return kSealed + std::string(
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
}

std::string Success(bool is_stream, int place) {
  if (!is_stream)
    return kSealed + std::string("Content-Length: ") +
           std::to_string(std::string(kAnswer).size()) + "\r\n\r\n" + kAnswer;
  std::string text = StreamHead();
  for (int number = place + 1; number <= kEvents; ++number)
    text += Chunk(Event(number));
  return text + "0\r\n\r\n";
}

// The beginning of a success.
std::string BrokenSuccess(bool is_stream, int place) {
  if (!is_stream)
    return Success(false, 0).substr(0, Success(false, 0).size() - 1);
  const std::string next = Event(place + 2);
  return StreamHead() + Chunk(Event(place + 1)) +
         Chunk(next.substr(0, next.size() / 2));
}

// A stream with an event whose id is spoilt.
std::string SpoiltSuccess(bool is_stream, int place) {
  if (!is_stream)
    return "HTTP/1.1 200 OK\r\n" + std::string(kNoBody);
  return StreamHead() + Chunk(Event(place + 1)) +
         Chunk("id: 0\ndata: spoilt\n\n") + Chunk("id: ");
}

std::string Refusal(const char* status, const std::string& fields) {
  return std::string("HTTP/1.1 ") + status + kPlain + fields + kNoBody;
}

// Configuration with one route of the kind.
std::shared_ptr<const TrafficPolicy> MakePolicy(RequestKind kind,
                                                int attempts) {
  Route route;
  route.name = "route";
  route.host = "h";
  route.prefix = "/a/";
  route.kind = kind;
  route.shares = {{PoolId("pool"), 1}};
  route.target_latency = route.timeout;
  route.attempts = attempts;
  route.allow_anonymous = true;
  Pool pool;
  pool.id = PoolId("pool");
  TrafficPolicy::Builder builder(ConfigVersion(1));
  builder.AddRoute(route);
  builder.AddPool(pool);
  return builder.Build();
}

http::request<http::string_body> MakeRequest() {
  http::request<http::string_body> request(http::verb::post, "/a/x", 11);
  request.set(http::field::host, "h");
  request.set("X-Bamboomount-Request-Id", "r1");
  request.body() = kBody;
  request.prepare_payload();
  return request;
}

}  // namespace

// What the caller gets.
class AttemptsWorld::Reply : public CallerReply {
 public:
  void Send(http::response<http::string_body> response) override {
    Begin(response.base(), std::nullopt);
    body = response.body();
    Finish();
  }
  void Begin(http::response_header<> head,
             std::optional<std::uint64_t> /*content_length*/) override {
    status = head.result_int();
    sealed = head.find("X-Bamboomount-Response-Seal") != head.end();
    ++answers;
  }
  void Write(std::string piece) override { body += piece; }
  std::size_t pending_bytes() const override { return 0; }
  void WhenDrained(std::function<void()> drained) override { drained(); }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  void SetCallerGoneHandler(std::function<void()> handler) override {
    gone = std::move(handler);
  }
  // The process does not stop in this world.
  void SetEndHandler(std::function<void()>) override {}

  unsigned status = 0;
  bool sealed = false;
  std::string body;
  int answers = 0;
  bool finished = false;
  bool aborted = false;
  bool left = false;
  std::function<void()> gone;
};

const std::vector<AttemptsWorld::Behaviour>& AttemptsWorld::Behaviours() {
  const auto refuse = [](const char* status, const std::string& fields) {
    return [=](bool /*is_stream*/, int /*place*/) {
      return Refusal(status, fields);
    };
  };
  const std::string not_run = kNotRun;
  static const std::vector<Behaviour> behaviours{
      {"answers", true, false, Success},
      {"refuses and says so", false, false, refuse("503 Busy", not_run)},
      {"refuses, asks for a pause", false, false,
       refuse("503 Busy", not_run + "Retry-After: 2\r\n")},
      {"refuses, is leaving", false, false,
       refuse("503 Busy", not_run + "Server-Leaving: 1\r\n")},
      {"is another server", false, false, refuse("421 Other", "")},
      {"refuses without the mark", true, false, refuse("503 Busy", "")},
      {"answers 429 without the mark", true, false, refuse("429 Many", "")},
      {"fails", true, false, refuse("500 Failed", "")},
      {"closes without an answer", true, true,
       [](bool, int) { return std::string(); }},
      {"closes within the head", true, true,
       [](bool, int) { return std::string(kSealed); }},
      {"closes within the body", true, true, BrokenSuccess},
      {"spoils an event and closes", true, true, SpoiltSuccess},
      {"answers without a seal", true, false,
       refuse("200 OK", "Content-Type: text/event-stream\r\n")},
      {"answers another request and closes", true, true,
       [](bool, int) {
         return "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: r2\r\n"
                "X-Bamboomount-Response-Seal: s\r\n" +
                std::string(kNoBody);
       }},
  };
  return behaviours;
}

AttemptsWorld::AttemptsWorld(RequestKind kind, int attempts)
    : kind_(kind), attempts_(attempts), reply_(std::make_shared<Reply>()) {
  state_ = std::make_unique<GatewayState>(InstanceSettings());
  dispatcher_ =
      std::make_unique<Dispatcher>(context_, protocol_, *state_, metrics_);
  const Instant now = BootClock::now();
  state_->ApplyPolicy(MakePolicy(kind, attempts));
  state_->freshness().Confirm(now, Millis(1));
  for (std::size_t i = 0; i < kServers; ++i) {
    Server& server = servers_[i];
    server.id = BackendId("s" + std::to_string(i));
    BackendServer row;
    row.id = server.id;
    row.pool = PoolId("pool");
    row.slots = 1;
    state_->backends().Update(row, now);
    server.wire = std::make_unique<fuzz::Wire>(context_);
    auto connection = std::make_unique<BackendConnection>(context_);
    connection->socket = server.wire->TakeSocket();
    connection->idle_timeout = std::chrono::hours(1);
    dispatcher_->connections().Release(server.id, std::move(connection), now);
  }
  state_->MarkBackendsLoaded();
  const auto exchange = std::make_shared<Exchange>(
      *dispatcher_, IncomingRequest{MakeRequest(), now}, reply_);
  exchange_ = exchange;
  exchange->Start();
  for (const Server& server : servers_)
    server.wire->RunProduct();
}

AttemptsWorld::~AttemptsWorld() {
  if (reply_->gone)
    std::exchange(reply_->gone, nullptr)();
  context_.restart();
  context_.poll();
}

AttemptsWorld::Server* AttemptsWorld::ServerWithRequest() const {
  for (const Server& server : servers_) {
    if (!server.has_acted && !server.wire->output().empty())
      return const_cast<Server*>(&server);
  }
  return nullptr;
}

std::vector<std::string> AttemptsWorld::Steps() const {
  std::vector<std::string> names;
  if (!ServerWithRequest() || reply_->finished || reply_->aborted ||
      reply_->left)
    return names;
  for (const Behaviour& behaviour : Behaviours())
    names.emplace_back(std::string("the server ") + behaviour.name);
  names.emplace_back("the caller leaves");
  return names;
}

void AttemptsWorld::Take(std::size_t step) {
  history_ += static_cast<char>('a' + step);
  if (step == Behaviours().size()) {
    reply_->left = true;
    std::exchange(reply_->gone, nullptr)();
    servers_[0].wire->RunProduct();
    return;
  }
  Server& server = *ServerWithRequest();
  server.has_acted = true;
  const Behaviour& behaviour = Behaviours()[step];
  const auto request = fuzz::ReadRequestStrictly(server.wire->output());
  CheckRequest(request, server);
  const std::string place = request.Field("Last-Event-Id");
  if (behaviour.runs)
    ++runs_;
  server.wire->Deliver(
      behaviour.answer(IsStream(kind_), place.empty() ? 0 : std::stoi(place)));
  if (behaviour.closes)
    server.wire->End(fuzz::Ending::kShutdown);
  for (const Server& other : servers_)
    other.wire->RunProduct();
  CheckReply();
}

void AttemptsWorld::CheckRequest(const fuzz::StrictMessage& request,
                                 const Server& server) {
  if (request.verdict != fuzz::StrictVerdict::kComplete ||
      request.body != kBody || request.start[1] != "/a/x" ||
      request.size != server.wire->output().size())
    Fail("a server got another request than the caller sent");
  if (request.Field("X-Bamboomount-Expected-Instance") != server.id.value())
    Fail("a request names another server than the one it was sent to");
}

void AttemptsWorld::CheckReply() {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kServiceUnavailable = 503;
  const int may_run = MayRepeat(kind_) ? attempts_ : 1;
  if (runs_ > may_run)
    Fail("a request ran more often than it may");
  if (!reply_->finished && !reply_->aborted) {
    if (!ServerWithRequest())
      Fail("a request waits although no server has it");
    return;
  }
  if (reply_->answers > 1)
    Fail("the caller got two answers");
  const bool promises_not_run = reply_->status == kRequestTimeout ||
                                reply_->status == kTooManyRequests ||
                                reply_->status == kServiceUnavailable;
  if (promises_not_run && runs_ > 0 && !MayRepeat(kind_))
    Fail("the caller was told that its request did not run, and it did");
  if (reply_->status / 100 != 2)
    return;
  if (!reply_->sealed)
    Fail("the caller got an answer without the proof of a server");
  if (IsStream(kind_))
    CheckStream();
  else if (reply_->finished && reply_->body != kAnswer)
    Fail("the caller got another answer than a server gave");
}

// Each piece comes once and in order; what a server spoilt does not count.
void AttemptsWorld::CheckStream() {
  std::string expected;
  for (int number = 1; number <= kEvents; ++number)
    expected += Event(number);
  std::string pieces = reply_->body;
  const std::string spoilt = "id: 0\ndata: spoilt\n\n";
  for (std::size_t at = pieces.find(spoilt); at != std::string::npos;
       at = pieces.find(spoilt))
    pieces.erase(at, spoilt.size());
  if (!expected.starts_with(pieces))
    Fail("a stream has a piece twice, or another one than a server gave");
  if (reply_->finished && pieces != expected)
    Fail("a stream ended as complete before its last piece");
}

void AttemptsWorld::Fail(const std::string& property) {
  if (violation_.empty())
    violation_ = property;
}

}  // namespace bamboomount::check
