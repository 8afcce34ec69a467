#include "fuzz/instance/instance_fuzzer.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "fuzz/checks.h"
#include "fuzz/http_grammar.h"
#include "fuzz/instance/raw_caller.h"
#include "gateway/control/table_names.h"
#include "support/wait_until.h"

namespace bamboomount::fuzz {
namespace {

using entry_test::BackendMode;
using nlohmann::json;

constexpr int kMemoryMb = 64;
constexpr long kMaxPeakKilobytes = 64'000;
constexpr std::ptrdiff_t kMaxDescriptors = 150;
constexpr char kIdField[] = "X-Bamboomount-Request-Id";
constexpr std::size_t kMaxMessages = 3;

void Require(bool holds, const std::string& property) {
  if (!holds)
    throw Violation(property);
}

// Whether callers take the status for the promise that nothing ran.
bool PromisesNotRun(const std::string& status) {
  return status == "503" || status == "429" || status == "408";
}

// The reply to the request in what a server sends: the first one that is final
// and names its id.
StrictMessage FindReply(std::string_view script, const std::string& id) {
  while (true) {
    StrictMessage reply = ReadResponseStrictly(script, false);
    if (reply.verdict != StrictVerdict::kComplete ||
        (reply.start[1].front() != '1' && reply.Field(kIdField) == id))
      return reply;
    script.remove_prefix(reply.size);
  }
}

// Whether `count` answers have been received, none of them to HEAD.
IsDone HasAnswers(std::size_t count) {
  return [count](const std::string& received) {
    std::string_view rest = received;
    std::size_t found = 0;
    while (found < count) {
      const StrictMessage answer = ReadResponseStrictly(rest, false);
      if (answer.verdict != StrictVerdict::kComplete)
        return false;
      rest.remove_prefix(answer.size);
      found += answer.start[1] == "100" ? 0 : 1;
    }
    return true;
  };
}

bool MayRunOnce(const std::string& target) {
  return target.starts_with("/book/");
}

}  // namespace

InstanceFuzzer::InstanceFuzzer() {
  fleet_.Configure(config_version_, fleet_.DefaultCustomers());
  for (const char* id : {"s-1", "s-2", "s-3"})
    servers_.push_back(&fleet_.AddBackend(id));
  checked_.resize(servers_.size());
  instance_ = &fleet_.AddInstance(
      "i-1", {{"memory_mb", kMemoryMb}, {"peer_address", "127.0.0.1:0"}});
  instance_->WaitUntilReady();
  support::WaitUntil(
      [this] { return !fleet_.store().Table(tables::kInstances).empty(); });
  const auto rows = fleet_.store().Table(tables::kInstances);
  if (!rows.empty())
    peer_address_ = json::parse(rows.begin()->second).value("peer_address", "");
  if (peer_address_.empty())
    throw std::runtime_error("the instance has no address for peers");
}

void InstanceFuzzer::Try(const std::string& input) {
  struct Sender {
    const char* name;
    void (InstanceFuzzer::*send)(Choices&);
  };
  constexpr std::array kSenders{Sender{"caller", &InstanceFuzzer::SendAsCaller},
                                Sender{"server", &InstanceFuzzer::SendAsServer},
                                Sender{"caller", &InstanceFuzzer::SendAsCaller},
                                Sender{"server", &InstanceFuzzer::SendAsServer},
                                Sender{"writer", &InstanceFuzzer::WriteAsOther},
                                Sender{"peer", &InstanceFuzzer::SendAsPeer}};
  Choices choices(input);
  const Sender& sender = kSenders[choices.Below(kSenders.size())];
  ++counts_[sender.name];
  (this->*sender.send)(choices);
  CheckArrivals();
  CheckProcess();
}

std::string InstanceFuzzer::NextId() {
  return "f" + std::to_string(++next_id_);
}

std::string InstanceFuzzer::Fields(const std::string& id) const {
  return std::string("Host: h.example\r\n") + kIdField + ": " + id +
         "\r\nX-Api-Key: key-mill\r\n"
         "X-Bamboomount-Deadline-Milliseconds: 2000\r\n";
}

// Remembers the requests that stand one after the other in the bytes, and
// returns their ids. Damage may have changed an id.
std::vector<std::string> InstanceFuzzer::RecordSent(std::string_view bytes) {
  std::vector<std::string> ids;
  while (true) {
    const StrictMessage message = ReadRequestStrictly(bytes);
    if (message.verdict != StrictVerdict::kComplete)
      return ids;
    ids.push_back(message.Field(kIdField));
    sent_[ids.back()].push_back(message);
    bytes.remove_prefix(message.size);
  }
}

void InstanceFuzzer::SendAsCaller(Choices& choices) {
  std::string bytes;
  std::vector<std::string> ids;
  do {
    ids.push_back(NextId());
    bytes += GenerateRequest(choices, Fields(ids.back())).bytes;
  } while (ids.size() < kMaxMessages && choices.OneIn(2));
  const std::vector<std::string> sent = RecordSent(bytes);
  const std::vector<std::string> pieces = Cut(bytes, choices);
  const bool resets = choices.OneIn(8);
  const std::string received = SendRaw(instance_->caller_address(), pieces,
                                       HasAnswers(ids.size()), resets);
  if (!resets)
    CheckAnswers(received, sent);
}

// The n-th answer is that to the n-th request.
void InstanceFuzzer::CheckAnswers(std::string_view received,
                                  const std::vector<std::string>& ids) {
  std::size_t number = 0;
  while (!received.empty()) {
    const auto sent =
        number < ids.size() ? sent_.find(ids[number]) : sent_.end();
    const bool answers_head =
        sent != sent_.end() && sent->second.back().start[0] == "HEAD";
    const StrictMessage answer = ReadResponseStrictly(received, answers_head);
    if (answer.verdict == StrictVerdict::kIncomplete)
      return;
    Require(answer.verdict == StrictVerdict::kComplete,
            "a caller got bytes that are no answer");
    received.remove_prefix(answer.size);
    if (answer.start[1] == "100")
      continue;
    if (answer.start[1] == "200") {
      Require(sent != sent_.end(), "a caller got an answer to no request");
      Require(answer.Field(kIdField) == ids[number],
              "a caller got the answer to another request");
    } else if (PromisesNotRun(answer.start[1]) && sent != sent_.end() &&
               sent->second.size() == 1 &&
               MayRunOnce(sent->second.back().start[1])) {
      Require(!HasRun(ids[number]),
              "a caller was told that its request did not run, and it did");
    }
    ++number;
  }
}

bool InstanceFuzzer::HasRun(const std::string& id) {
  for (entry_test::BackendStandin* server : servers_) {
    for (const auto& request : server->ExecutedRequests()) {
      if (request.header(kIdField) == id)
        return true;
    }
  }
  return false;
}

void InstanceFuzzer::SendAsServer(Choices& choices) {
  std::string reply;
  do {
    const bool is_foreign = choices.OneIn(4);
    reply += GenerateResponse(choices,
                              std::string(kIdField) +
                                  (is_foreign ? ": other\r\n" : ": {id}\r\n") +
                                  "X-Bamboomount-Response-Seal: scripted\r\n")
                 .bytes;
  } while (choices.OneIn(3));
  const bool closes = choices.OneIn(2);
  for (entry_test::BackendStandin* server : servers_)
    server->SetScript({reply, closes});
  const std::string id = NextId();
  const bool once = choices.OneIn(2);
  const std::string head =
      std::string("POST ") + (once ? "/book/x" : "/lookup/x") +
      " HTTP/1.1\r\nContent-Length: 2\r\nHost: h.example\r\n" + kIdField +
      ": " + id +
      "\r\nX-Api-Key: key-mill\r\n"
      "X-Bamboomount-Deadline-Milliseconds: 300\r\n\r\nab";
  RecordSent(head);
  const std::string received =
      SendRaw(instance_->caller_address(), {head}, HasAnswers(1));
  CheckAnswers(received, {id});
  const StrictMessage answer = ReadResponseStrictly(received, false);
  if (answer.verdict == StrictVerdict::kComplete &&
      answer.Field("X-Bamboomount-Response-Seal") == "scripted" &&
      answer.start[1] == "200") {
    std::string script = reply;
    for (std::size_t at = script.find("{id}"); at != std::string::npos;
         at = script.find("{id}"))
      script.replace(at, std::string_view("{id}").size(), id);
    Require(answer.body == FindReply(script, id).body,
            "a caller got a body that no server sent");
  }
  for (entry_test::BackendStandin* server : servers_)
    server->SetMode(BackendMode::kAnswer);
}

// A row of a server or a configuration that is spoilt, and a store that loses
// its history or answers.
void InstanceFuzzer::WriteAsOther(Choices& choices) {
  constexpr std::array<std::string_view, 6> kOddRows{
      "", "{", "[]", "7", "{\"state\":\"ready\"}", "\xff"};
  entry_test::StoreStandin& store = fleet_.store();
  std::string row(choices.Pick(kOddRows));
  if (choices.OneIn(2)) {
    row = entry_test::BackendRow("127.0.0.1:9").dump();
    row[choices.Below(row.size())] = choices.Character();
    // Rows that are still sound name a server that does not exist.
    if (json::accept(row))
      row.pop_back();
  }
  switch (choices.Below(4)) {
    case 0:
      store.Put("servers", "odd-" + std::to_string(choices.Below(4)), row);
      break;
    case 1:
      store.Remove("servers", "odd-" + std::to_string(choices.Below(4)));
      break;
    case 2:
      store.DiscardHistory();
      break;
    default:
      store.LoseCommitResponses(1);
      break;
  }
}

void InstanceFuzzer::SendAsPeer(Choices& choices) {
  if (choices.OneIn(2)) {
    const GeneratedMessage message = GenerateRequest(choices, "Host: p\r\n");
    std::string bytes = message.bytes;
    constexpr std::array<std::string_view, 3> kTargets{
        "GET /peer/rows?table=servers&after=0 HTTP/1.1\r\nHost: p\r\n\r\n",
        "GET /peer/rows?table=&after=99999999999999999999 HTTP/1.1\r\n"
        "Host: p\r\n\r\n",
        "GET /peer/rows?after=-1&table=op HTTP/1.1\r\nHost: p\r\n\r\n"};
    bytes += choices.Pick(kTargets);
    SendRaw(peer_address_, Cut(bytes, choices), HasAnswers(kMaxMessages),
            choices.OneIn(4));
    return;
  }
  SendDatagram(peer_address_, GeneratePeerDatagram(choices));
}

// Each request that reached a server is one that a caller sent.
void InstanceFuzzer::CheckArrivals() {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto arrivals = servers_[i]->Arrivals();
    for (; checked_[i] < arrivals.size(); ++checked_[i]) {
      const auto& arrival = arrivals[checked_[i]];
      const std::string id = arrival.request.header(kIdField);
      const auto sent = sent_.find(id);
      Require(sent != sent_.end(),
              "a server got a request that no caller sent");
      const bool unchanged =
          std::any_of(sent->second.begin(), sent->second.end(),
                      [&arrival](const StrictMessage& request) {
                        return arrival.request.method == request.start[0] &&
                               arrival.request.target == request.start[1] &&
                               arrival.request.body == request.body;
                      });
      Require(unchanged, "a server got another request than the caller sent");
      if (arrival.ran)
        Require(++runs_[id] <= sent->second.size() ||
                    !MayRunOnce(arrival.request.target),
                "work that may run once ran twice");
    }
  }
}

void InstanceFuzzer::CheckProcess() {
  Require(instance_->process().running(), "the process has ended");
  const std::filesystem::path folder =
      std::filesystem::path("/proc") /
      std::to_string(instance_->process().pid());
  std::ifstream status(folder / "status");
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view kPeak = "VmHWM:";
    if (line.starts_with(kPeak))
      Require(std::stol(line.substr(kPeak.size())) < kMaxPeakKilobytes,
              "the process used more memory than it has");
  }
  Require(
      std::distance(std::filesystem::directory_iterator(folder / "fd"),
                    std::filesystem::directory_iterator()) < kMaxDescriptors,
      "the process used too many descriptors");
  // Servers that broke an answer may be left out for a while.
  const bool served = support::WaitUntil([this] {
    const std::string id = NextId();
    const std::string request =
        "POST /lookup/ordinary HTTP/1.1\r\nContent-Length: 2\r\n" + Fields(id) +
        "\r\nok";
    RecordSent(request);
    const std::string received =
        SendRaw(instance_->caller_address(), {request}, HasAnswers(1));
    const StrictMessage answer = ReadResponseStrictly(received, false);
    return answer.verdict == StrictVerdict::kComplete &&
           answer.start[1] == "200" &&
           answer.body.find(id) != std::string::npos;
  });
  Require(served, "an ordinary request is not served");
}

}  // namespace bamboomount::fuzz
