// A client hides a request in the body of another one. The outer request names
// a transfer coding that does not end with "chunked", so its body has no
// length that a server could know.
#include "../support/kit.hpp"

namespace review {
namespace {

constexpr int kRounds = 10;

struct Sent {
  ClientRequest outer;
  std::string body;
  std::string hidden_id;
};

// The text of a complete request, as a body may quote it.
ClientRequest HiddenRequest() {
  return MakeRequest("POST", "/book/deposit/hidden", "pay twice");
}

int Run(Record& record, const std::string& folder) {
  Store& store = Make<Store>();
  Backend& first = Make<Backend>(record, "i-app1");
  Backend& second = Make<Backend>(record, "i-app2");
  store.Put("op", "config", Config());
  store.Put("servers", first.id(), first.Row("app"));
  store.Put("servers", second.id(), second.Row("app"));
  Entry& entry =
      Make<Entry>(record, "front-a-1", folder, store.address());
  if (!entry.WaitUntilReady())
    return kCouldNotRun;
  Sleep(1);
  const std::vector<std::string> codings{"gzip", "chunked, identity"};
  std::vector<Sent> all;
  for (int round = 0; round < kRounds; ++round) {
    const ClientRequest hidden = HiddenRequest();
    Sent sent;
    sent.body = hidden.bytes;
    sent.hidden_id = hidden.id;
    const std::string framing =
        TroubleIsOn()
            ? "Transfer-Encoding: " + codings[round % codings.size()] + "\r\n"
            : "";
    sent.outer =
        MakeRequest("POST", "/book/note", sent.body, 4000, framing);
    auto connection = Connection::Open(entry.address());
    if (!connection || !connection->Write(sent.outer.bytes))
      return kCouldNotRun;
    record.Line("client sends " + sent.outer.id + " with " +
                (framing.empty() ? "Content-Length"
                                 : framing.substr(0, framing.size() - 2)) +
                ", its body quotes " + sent.hidden_id);
    const Message answer = connection->Read(3);
    record.Line("client gets status " + std::to_string(answer.status()) +
                " for " + sent.outer.id);
    const Message extra = connection->Read(0.3);
    if (extra.complete)
      record.Line("client gets a further answer: status " +
                  std::to_string(extra.status()) + ", id " +
                  extra.header("x-bamboomount-request-id"));
    all.push_back(std::move(sent));
  }
  Sleep(0.5);
  int smuggled = 0;
  int changed = 0;
  for (Backend* server : {&first, &second}) {
    for (const Backend::Arrival& arrival : server->arrivals()) {
      if (!arrival.ran)
        continue;
      const std::string id =
          arrival.request.header("x-bamboomount-request-id");
      for (const Sent& sent : all) {
        if (id == sent.hidden_id)
          ++smuggled;
        if (id == sent.outer.id && arrival.request.body != sent.body)
          ++changed;
      }
    }
  }
  record.Line("requests from within a body that a server ran: " +
              std::to_string(smuggled) + " of " + std::to_string(kRounds));
  record.Line("requests that ran with another body than the client sent: " +
              std::to_string(changed) + " of " + std::to_string(kRounds));
  return smuggled > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::RunCase("review/5/record.txt", review::Run);
}
