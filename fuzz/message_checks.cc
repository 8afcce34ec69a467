// Checks of the readers of HTTP messages: what they take for a message is the
// message that the strict reader finds at the same place.
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuzz/checks.h"
#include "fuzz/http_grammar.h"
#include "fuzz/strict_http_reader.h"
#include "fuzz/wire.h"
#include "gateway/forwarding/backend_attempt.h"
#include "gateway/forwarding/caller_connection.h"
#include "platform/http_message_protocol.h"

namespace bamboomount::fuzz {
namespace {

constexpr std::size_t kMaxMessages = 3;
constexpr std::size_t kMaxHeadBytes = 4096;
constexpr std::size_t kMaxBodyBytes = 32'768;
// Longer heads of servers are refused.
constexpr std::size_t kMaxReplyHeadBytes = 65'000;
constexpr std::size_t kMemoryBytes = 1'000'000;
// Of one connection: its read buffer, the parsed head twice, the body twice,
// and queued answers.
constexpr std::size_t kMaxChargedBytes = 400'000;

void Require(bool holds, const std::string& property) {
  if (!holds)
    throw Violation(property);
}

// The bytes as a C string literal has them.
std::string Escape(std::string_view bytes) {
  constexpr std::size_t kMaxShown = 600;
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes.substr(0, kMaxShown)) {
    const auto value = static_cast<unsigned char>(byte);
    if (byte == '\r')
      text += "\\r";
    else if (byte == '\n')
      text += "\\n\n  ";
    else if (value >= 0x20 && value < 0x7f)
      text += byte;
    else
      text += std::string("\\x") + kHex[value / 16] + kHex[value % 16];
  }
  return text;
}

// Runs `check` and adds to a violation what was sent.
template <typename Check>
void CheckSent(std::string_view sent, Check check) {
  try {
    check();
  } catch (const Violation& violation) {
    throw Violation(violation.what() + ("; sent:\n  " + Escape(sent)));
  }
}

std::string AnswerTo(std::size_t number) {
  return "answer " + std::to_string(number);
}

// Records the requests of a connection and answers each at once.
class RequestRecorder : public CallerConnectionOwner {
 public:
  void OnRequest(IncomingRequest request,
                 std::shared_ptr<CallerReply> reply) override {
    http::response<http::string_body> response(http::status::ok, 11);
    response.body() = AnswerTo(requests_.size());
    requests_.push_back(std::move(request.message));
    reply->Send(std::move(response));
  }
  CallerLimits limits() const override {
    CallerLimits limits;
    limits.header_bytes = kMaxHeadBytes;
    limits.body_bytes = kMaxBodyBytes;
    return limits;
  }
  bool shutting_down() const override { return false; }
  std::shared_ptr<MemoryBudget> memory() override { return memory_; }
  bool refuses_requests() const override { return false; }
  void OnMemoryCharged() override {
    max_charged_ = std::max(max_charged_, memory_->used_bytes());
  }

  const std::vector<http::request<http::string_body>>& requests() const {
    return requests_;
  }
  std::size_t max_charged() const { return max_charged_; }

 private:
  std::vector<http::request<http::string_body>> requests_;
  std::shared_ptr<MemoryBudget> memory_ =
      std::make_shared<MemoryBudget>(kMemoryBytes, kMemoryBytes);
  std::size_t max_charged_ = 0;
};

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

// Fields by lower-case name. The order of those with different names means
// nothing, and Beast does not keep it.
using FieldMap = std::multimap<std::string, std::string>;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char character) {
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character - 'A' + 'a')
               : character;
  });
  return text;
}

template <typename Fields>
bool HasSameFields(const Fields& fields, const StrictMessage& strict) {
  FieldMap read;
  for (const auto& field : fields)
    read.emplace(ToLower(ToString(field.name_string())),
                 ToString(field.value()));
  FieldMap expected;
  for (const auto& [name, value] : strict.fields)
    expected.emplace(ToLower(name), value);
  return read == expected;
}

// Compares the requests with those that the strict reader finds.
void CompareRequests(const std::vector<http::request<http::string_body>>& read,
                     std::string_view sent) {
  for (const auto& request : read) {
    const StrictMessage strict = ReadRequestStrictly(sent);
    Require(strict.verdict == StrictVerdict::kComplete,
            "a request was read that the strict reader does not accept");
    Require(request.body() == strict.body,
            "the readers disagree on the body of a request");
    Require(ToString(request.method_string()) == strict.start[0] &&
                ToString(request.target()) == strict.start[1],
            "the readers disagree on the start of a request");
    Require(HasSameFields(request, strict),
            "the readers disagree on the fields of a request");
    sent.remove_prefix(strict.size);
  }
}

// Checks that the caller got one answer for each request, in order, and at the
// end at most one refusal.
void CheckAnswers(const std::vector<http::request<http::string_body>>& read,
                  std::string_view received) {
  std::size_t answered = 0;
  while (!received.empty()) {
    const bool answers_head =
        answered < read.size() && read[answered].method() == http::verb::head;
    const StrictMessage answer = ReadResponseStrictly(received, answers_head);
    Require(answer.verdict == StrictVerdict::kComplete,
            "the caller got bytes that are no complete answer");
    received.remove_prefix(answer.size);
    if (answer.start[1] == "100")
      continue;
    if (answer.start[1] != "200") {
      Require(received.empty(), "the caller got an answer after a refusal");
      break;
    }
    Require(answers_head || answer.body == AnswerTo(answered),
            "the caller got the answer to another request");
    ++answered;
  }
  Require(answered == read.size(), "the caller did not get all answers");
}

// The number of messages that every reader must accept.
std::size_t SoundMessages(const std::vector<GeneratedMessage>& messages) {
  std::size_t count = 0;
  for (const GeneratedMessage& message : messages) {
    const std::size_t head = message.bytes.find("\r\n\r\n");
    if (!message.is_sound || head + 4 > kMaxHeadBytes ||
        message.bytes.size() - head > kMaxBodyBytes)
      return count;
    ++count;
    if (message.is_last)
      return count;
  }
  return count;
}

template <typename Generate>
std::vector<GeneratedMessage> GenerateMessages(Choices& choices,
                                               Generate generate) {
  std::vector<GeneratedMessage> messages;
  do {
    messages.push_back(generate(messages.size()));
  } while (messages.size() < kMaxMessages && choices.OneIn(2));
  return messages;
}

std::string Join(const std::vector<GeneratedMessage>& messages) {
  std::string bytes;
  for (const GeneratedMessage& message : messages)
    bytes += message.bytes;
  return bytes;
}

constexpr char kServer[] = "server";
constexpr char kRequest[] = "r1";

// Receives the response of one attempt.
class ResponseRecorder : public AttemptObserver {
 public:
  std::optional<std::string> PrepareHead() override {
    return "GET / HTTP/1.1\r\n\r\n";
  }
  const std::string& request_body() const override { return request_body_; }
  void OnReplyHead(const http::response_header<>& header,
                   const ReplyHead& /*head*/,
                   std::optional<std::uint64_t> /*content_length*/) override {
    head = header;
  }
  bool OnReplyBody(std::string_view piece) override {
    body += piece;
    return true;
  }
  void OnAttemptEnd(AttemptOutcome end) override { outcome = end; }

  http::response_header<> head;
  std::string body;
  std::optional<AttemptOutcome> outcome;

 private:
  const std::string request_body_;
};

// The response to the request: the first one that is final and names its id.
// `sent` begins with it afterwards.
StrictMessage FindResponse(std::string_view& sent, bool answers_head) {
  while (true) {
    StrictMessage message = ReadResponseStrictly(sent, answers_head);
    if (message.verdict != StrictVerdict::kComplete ||
        (message.start[1].front() != '1' &&
         message.Field("X-Bamboomount-Request-Id") == kRequest))
      return message;
    sent.remove_prefix(message.size);
  }
}

}  // namespace

void CheckRequests(Choices& choices) {
  const auto messages =
      GenerateMessages(choices, [&choices](std::size_t /*number*/) {
        return GenerateRequest(
            choices, choices.OneIn(8) ? "Host: h\r\nExpect: 100-continue\r\n"
                                      : "Host: h\r\n");
      });
  const std::string sent = Join(messages);
  asio::io_context context;
  RequestRecorder recorder;
  Wire wire(context);
  const auto connection =
      std::make_shared<CallerConnection>(wire.TakeSocket(), recorder);
  connection->Start();
  for (const std::string& piece : Cut(sent, choices))
    wire.Deliver(piece);
  const Ending ending = choices.OneIn(4) ? Ending::kClose : Ending::kShutdown;
  wire.End(ending);
  connection->Close();
  context.poll();
  CheckSent(sent, [&] {
    CompareRequests(recorder.requests(), sent);
    CheckAnswers(recorder.requests(), wire.output());
    Require(recorder.requests().size() >= SoundMessages(messages),
            "a sound request was refused");
    Require(recorder.max_charged() <= kMaxChargedBytes,
            "a connection used too much memory");
  });
}

void CheckResponses(Choices& choices) {
  const bool answers_head = choices.OneIn(8);
  const auto messages =
      GenerateMessages(choices, [&choices](std::size_t /*number*/) {
        const bool is_foreign = choices.OneIn(4);
        return GenerateResponse(
            choices, is_foreign ? "X-Bamboomount-Request-Id: other\r\n"
                                : "X-Bamboomount-Request-Id: r1\r\n"
                                  "X-Bamboomount-Response-Seal: s\r\n");
      });
  const std::string sent = Join(messages);
  asio::io_context context;
  const HttpMessageProtocol protocol;
  BackendConnectionPool pool;
  const AttemptEnvironment environment{context, protocol, pool};
  const BackendId server(kServer);
  Wire wire(context);
  auto connection = std::make_unique<BackendConnection>(context);
  connection->socket = wire.TakeSocket();
  connection->idle_timeout = std::chrono::hours(1);
  pool.Release(server, std::move(connection), BootClock::now());
  ResponseRecorder recorder;
  BackendServer address;
  address.id = server;
  const auto attempt = std::make_shared<BackendAttempt>(
      environment, address,
      BackendAttempt::Options{RequestId(kRequest), answers_head, false},
      recorder);
  attempt->Start();
  for (const std::string& piece : Cut(sent, choices))
    wire.Deliver(piece);
  const bool reusable =
      pool.Acquire(server, false, BootClock::now()) != nullptr;
  const Ending ending = choices.OneIn(4) ? Ending::kClose : Ending::kShutdown;
  wire.End(ending);
  attempt->Cancel();
  context.poll();

  CheckSent(sent, [&] {
    std::string_view rest = sent;
    const StrictMessage strict = FindResponse(rest, answers_head);
    if (recorder.outcome == AttemptOutcome::kComplete) {
      Require(strict.verdict == StrictVerdict::kComplete,
              "a response was read that the strict reader does not accept");
      Require(recorder.body == strict.body,
              "the readers disagree on the body of a response");
      Require(std::to_string(recorder.head.result_int()) == strict.start[1] &&
                  HasSameFields(recorder.head, strict),
              "the readers disagree on the head of a response");
    }
    if (reusable)
      Require(recorder.outcome == AttemptOutcome::kComplete &&
                  !strict.until_close && strict.size == rest.size(),
              "a connection is used again although bytes follow the response");
    if (messages.front().is_sound &&
        messages.front().bytes.find("\r\n\r\n") < kMaxReplyHeadBytes &&
        messages.front().bytes ==
            rest.substr(0, messages.front().bytes.size()) &&
        rest.size() == sent.size() && strict.start[1].front() != '1' &&
        !(messages.front().until_close && ending == Ending::kClose &&
          !answers_head))
      Require(recorder.outcome == AttemptOutcome::kComplete,
              "a sound response was refused");
  });
}

}  // namespace bamboomount::fuzz
