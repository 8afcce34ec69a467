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
// The stream that a request of the caller resumes, after its first event.
constexpr char kResumed[] = "r0";
constexpr int kResumedPlace = 1;

std::string Chunk(const std::string& data) {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

std::string Event(int number, const std::string& version) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: piece " + text + " of " + version + "\n\n";
}

std::string StreamHead() {
  return kSealed + std::string(
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
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

http::request<http::string_body> MakeRequest(bool resumes) {
  http::request<http::string_body> request(http::verb::post, "/a/x", 11);
  request.set(http::field::host, "h");
  request.set("X-Bamboomount-Request-Id", "r1");
  if (resumes) {
    request.set("Last-Event-Id", std::to_string(kResumedPlace));
    request.set("Resumes", kResumed);
  }
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

std::string AttemptsWorld::Success(const Work& work) {
  if (!work.is_stream)
    return kSealed + std::string("Content-Length: ") +
           std::to_string(std::string(kAnswer).size()) + "\r\n\r\n" + kAnswer;
  std::string text = StreamHead();
  for (int number = work.place + 1; number <= kEvents; ++number)
    text += Chunk(Event(number, work.version));
  return text + "0\r\n\r\n";
}

// The beginning of a success.
std::string AttemptsWorld::BrokenSuccess(const Work& work) {
  if (!work.is_stream)
    return Success(work).substr(0, Success(work).size() - 1);
  const std::string next = Event(work.place + 2, work.version);
  return StreamHead() + Chunk(Event(work.place + 1, work.version)) +
         Chunk(next.substr(0, next.size() / 2));
}

// A stream with an event whose id is spoilt.
std::string AttemptsWorld::SpoiltSuccess(const Work& work) {
  if (!work.is_stream)
    return "HTTP/1.1 200 OK\r\n" + std::string(kNoBody);
  return StreamHead() + Chunk(Event(work.place + 1, work.version)) +
         Chunk("id: 0\ndata: spoilt\n\n") + Chunk("id: ");
}

const std::vector<AttemptsWorld::Behaviour>& AttemptsWorld::Behaviours() {
  const auto refuse = [](const char* status, const std::string& fields) {
    return [=](const Work& /*work*/) { return Refusal(status, fields); };
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
       [](const Work&) { return std::string(); }},
      {"closes within the head", true, true,
       [](const Work&) { return std::string(kSealed); }},
      {"closes within the body", true, true, BrokenSuccess},
      {"spoils an event and closes", true, true, SpoiltSuccess},
      {"answers without a seal", true, false,
       refuse("200 OK", "Content-Type: text/event-stream\r\n")},
      {"answers another request and closes", true, true,
       [](const Work&) {
         return "HTTP/1.1 200 OK\r\nX-Bamboomount-Request-Id: r2\r\n"
                "X-Bamboomount-Response-Seal: s\r\n" +
                std::string(kNoBody);
       }},
  };
  return behaviours;
}

AttemptsWorld::AttemptsWorld(const Options& options)
    : options_(options), reply_(std::make_shared<Reply>()) {
  state_ = std::make_unique<GatewayState>(InstanceSettings());
  dispatcher_ =
      std::make_unique<Dispatcher>(context_, protocol_, *state_, metrics_);
  const Instant now = BootClock::now();
  state_->ApplyPolicy(MakePolicy(options_.kind, options_.attempts));
  state_->freshness().Confirm(now, Millis(1));
  state_->backend_freshness().Confirm(now, Millis(1));
  for (std::size_t i = 0; i < kServers; ++i) {
    Server& server = servers_[i];
    server.id = BackendId("s" + std::to_string(i));
    server.version = options_.versions[i];
    BackendServer row;
    row.id = server.id;
    row.version = SoftwareVersion(server.version);
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
  if (options_.resumption == Resumption::kOfKnownOrigin)
    state_->stream_origins().Record(
        RequestId(kResumed),
        {PoolId("pool"), SoftwareVersion(options_.versions.front())}, now);
  const bool resumes = options_.resumption != Resumption::kNone;
  const auto exchange = std::make_shared<Exchange>(
      *dispatcher_, IncomingRequest{MakeRequest(resumes), now}, reply_);
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
      behaviour.answer({IsStream(options_.kind),
                        place.empty() ? 0 : std::stoi(place), server.version}));
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
  const int may_run = MayRepeat(options_.kind) ? options_.attempts : 1;
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
  if (promises_not_run && runs_ > 0 && !MayRepeat(options_.kind))
    Fail("the caller was told that its request did not run, and it did");
  if (reply_->status / 100 != 2)
    return;
  if (!reply_->sealed)
    Fail("the caller got an answer without the proof of a server");
  if (IsStream(options_.kind))
    CheckStream();
  else if (reply_->finished && reply_->body != kAnswer)
    Fail("the caller got another answer than a server gave");
}

std::set<std::string> AttemptsWorld::VersionsIn(
    const std::string& pieces) const {
  std::set<std::string> versions;
  for (const std::string version : options_.versions) {
    if (pieces.find(" of " + version + "\n") != std::string::npos)
      versions.insert(version);
  }
  return versions;
}

// Each piece comes once and in order, and all from servers of one version; what
// a server spoilt does not count.
void AttemptsWorld::CheckStream() {
  std::string pieces = reply_->body;
  const std::string spoilt = "id: 0\ndata: spoilt\n\n";
  for (std::size_t at = pieces.find(spoilt); at != std::string::npos;
       at = pieces.find(spoilt))
    pieces.erase(at, spoilt.size());
  std::set<std::string> versions = VersionsIn(pieces);
  const bool resumes = options_.resumption != Resumption::kNone;
  if (resumes)
    versions.insert(options_.versions.front());
  if (versions.size() > 1)
    Fail("a stream holds events of two software versions");
  if (options_.resumption == Resumption::kOfUnknownOrigin)
    Fail("a stream goes on although its version is unknown");
  std::string expected;
  for (int number = resumes ? kResumedPlace + 1 : 1; number <= kEvents;
       ++number)
    expected += Event(number, versions.empty() ? "" : *versions.begin());
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
