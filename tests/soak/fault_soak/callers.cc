#include "soak/fault_soak/callers.h"

#include <array>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string_view>

#include "support/http_client.h"

namespace bamboomount::soak {
namespace {

using support::ClientRequest;
using support::ClientResponse;
using support::HttpClient;

constexpr int kOk = 200;
// Time limit of the caller. It is longer than the deadline that the request
// carries.
constexpr Millis kReplyTimeout{4000};
constexpr std::string_view kDeadlineMs = "3000";
constexpr int kKeepConnectionPercent = 85;
constexpr int kAbandonPercent = 3;
constexpr int kWithdrawnKeyPercent = 15;
// Version probes go to the newest version and those just before it, this many
// in all.
constexpr std::size_t kProbedVersionCount = 3;
constexpr int kMaxPauseMs = 30;

// Method and target of the requests of one kind.
struct RequestTemplate {
  RequestKind kind;
  std::string_view method;
  // Empty for version probes: their target depends on the version.
  std::string_view target;
};

constexpr std::array<RequestTemplate, 5> kRequestTemplates{{
    {RequestKind::kIdempotent, "GET", "/lookup/x"},
    {RequestKind::kAtMostOnce, "POST", "/book/x"},
    {RequestKind::kAtMostOnceStream, "POST", "/talk/stream"},
    {RequestKind::kResumableStream, "POST", "/resume/stream"},
    {RequestKind::kVersionProbe, "GET", ""},
}};

// One caller and its open connection, if any. Used by one thread.
class Caller {
 public:
  Caller(SoakFleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  // Sends one request and reads the reply, or abandons it. Returns nothing if
  // no process could be connected to.
  std::optional<RequestRecord> SendRequest() {
    const CallerView view = fleet_.View();
    if (!Connect(view))
      return std::nullopt;
    const RequestTemplate& request_template =
        kRequestTemplates[random_.Below(kRequestTemplates.size())];
    RequestRecord record = MakeRecord(view, request_template);
    ClientRequest request = entry_test::MakeRequest(
        std::string(request_template.method),
        TargetOf(request_template, record.version), record.key);
    for (auto& [name, value] : request.headers) {
      if (name == "X-Bamboomount-Deadline-Milliseconds")
        value = kDeadlineMs;
      if (name == "X-Bamboomount-Request-Id")
        record.id = value;
    }
    record.process = process_;
    record.sent = std::chrono::steady_clock::now();
    client_->Send(request);
    if (random_.Chance(kAbandonPercent)) {
      record.abandoned = true;
      client_.reset();
    } else {
      ReadReply(record);
    }
    record.ended = std::chrono::steady_clock::now();
    return record;
  }

  void Pause() { std::this_thread::sleep_for(random_.Between(0, kMaxPauseMs)); }

 private:
  // Reuses the open connection or opens one to a randomly chosen process.
  // Returns false if that fails.
  bool Connect(const CallerView& view) {
    if (client_ && random_.Chance(kKeepConnectionPercent))
      return true;
    client_.reset();
    if (view.endpoints.empty())
      return false;
    const Endpoint& endpoint = random_.Pick(view.endpoints);
    process_ = endpoint.process;
    try {
      client_ = std::make_unique<HttpClient>(endpoint.address, kReplyTimeout);
    } catch (const std::runtime_error&) {
      return false;
    }
    return true;
  }

  RequestRecord MakeRecord(const CallerView& view,
                           const RequestTemplate& request_template) {
    RequestRecord record;
    record.kind = request_template.kind;
    const bool withdrawn =
        !view.withdrawn.empty() && random_.Chance(kWithdrawnKeyPercent);
    const Credential& credential =
        random_.Pick(withdrawn ? view.withdrawn : view.keys);
    record.key = credential.key;
    record.customer = credential.customer;
    if (request_template.kind == RequestKind::kVersionProbe)
      record.version =
          view.version - static_cast<int>(random_.Below(kProbedVersionCount));
    return record;
  }

  static std::string TargetOf(const RequestTemplate& request_template,
                              int version) {
    if (request_template.kind == RequestKind::kVersionProbe)
      return "/v" + std::to_string(version) + "/x";
    return std::string(request_template.target);
  }

  void ReadReply(RequestRecord& record) {
    const ClientResponse head = client_->ReadHead();
    record.status = head.status;
    record.seal = head.header("X-Bamboomount-Response-Seal");
    if (head.status != 0) {
      const bool stream = record.kind == RequestKind::kAtMostOnceStream ||
                          record.kind == RequestKind::kResumableStream;
      if (head.status == kOk && stream)
        ReadEvents(record);
      else
        record.body = client_->ReadRest();
      record.complete = client_->ended_cleanly();
    }
    if (!record.complete || head.header("Connection") == "close")
      client_.reset();
  }

  void ReadEvents(RequestRecord& record) {
    constexpr std::string_view kIdField = "id: ";
    while (const auto event = client_->ReadEvent()) {
      const bool numbered = event->starts_with(kIdField);
      record.events.push_back(
          numbered ? std::stoi(event->substr(kIdField.size())) : 0);
    }
  }

  SoakFleet& fleet_;
  Random random_;
  std::unique_ptr<HttpClient> client_;
  std::string process_;
};

}  // namespace

Callers::Callers(SoakFleet& fleet, int count, std::uint64_t seed)
    : fleet_(fleet) {
  for (int i = 0; i < count; ++i)
    threads_.emplace_back(
        [this, caller_seed = seed + static_cast<std::uint64_t>(i)] {
          Run(caller_seed);
        });
}

Callers::~Callers() {
  Stop();
}

std::vector<RequestRecord> Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  return records_;
}

void Callers::Run(std::uint64_t seed) {
  Caller caller(fleet_, seed);
  while (!stopping_) {
    const auto record = caller.SendRequest();
    if (record) {
      const std::lock_guard lock(mutex_);
      records_.push_back(*record);
    }
    caller.Pause();
  }
}

}  // namespace bamboomount::soak
