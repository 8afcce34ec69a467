// A server works on bookings and then fails some of them with a plain 503,
// without the header that says that the request was not executed.
#include "../support/kit.hpp"

namespace review {
namespace {

constexpr int kBookings = 40;
// A third of the requests; the pages let a server fail up to 0.45 of them.
constexpr int kFailEvery = 3;

int Run(Record& record, const std::string& folder) {
  Store& store = Make<Store>();
  std::mutex& mutex = Make<std::mutex>();
  std::set<std::string>& booked = Make<std::set<std::string>>();
  std::atomic<int>& count = Make<std::atomic<int>>(0);
  const Backend::Answer work = [&](Backend& server, Connection& connection,
                                   const Message& request) {
    const std::string id = request.header("x-bamboomount-request-id");
    Sleep(0.03);
    {
      const std::lock_guard lock(mutex);
      booked.insert(id);
    }
    const bool fails = TroubleIsOn() && ++count % kFailEvery == 0;
    record.Line("server " + server.id() + " has booked " + id +
                (fails ? " and answers 503" : " and answers 200"));
    return connection.Write(Reply(fails ? 503 : 200,
                                  fails ? "failed" : "booked " + id,
                                  Backend::Headers(request)));
  };
  Backend& first = Make<Backend>(record, "i-app1", work);
  Backend& second = Make<Backend>(record, "i-app2", work);
  store.Put("op", "config", Config());
  store.Put("servers", first.id(), first.Row("app"));
  store.Put("servers", second.id(), second.Row("app"));
  Entry& entry =
      Make<Entry>(record, "front-a-1", folder, store.address());
  if (!entry.WaitUntilReady())
    return kCouldNotRun;
  Sleep(1);
  int promised = 0;
  for (int i = 0; i < kBookings; ++i) {
    const ClientRequest booking =
        MakeRequest("POST", "/book/deposit", "one pole");
    auto connection = Connection::Open(entry.address());
    if (!connection || !connection->Write(booking.bytes))
      return kCouldNotRun;
    const Message answer = connection->Read(5);
    const int status = answer.status();
    record.Line("client gets " + std::to_string(status) + " for " + booking.id);
    const std::lock_guard lock(mutex);
    const bool is_promise =
        status == 503 || status == 429 || status == 408 || status == 421;
    if (is_promise && booked.contains(booking.id)) {
      ++promised;
      record.Line("BROKEN: " + booking.id + " was answered " +
                  std::to_string(status) + " and has run");
    }
  }
  record.Line("bookings that ran and were answered as not run: " +
              std::to_string(promised) + " of " + std::to_string(kBookings));
  return promised > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::RunCase("review/5/record.txt", review::Run);
}
