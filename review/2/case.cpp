// Two instances freeze, one after the other and overlapping. In the meantime a
// server registers and leaves again; the first instance sees neither, the
// second one sees only that it registers. Both wake. The second instance then
// gets bookings.
#include <algorithm>
#include <random>

#include "../support/kit.hpp"

namespace review {
namespace {

// As many as the small deployment has.
constexpr int kInstances = 9;
// Steps of a round. The first instance is frozen for 1.5 s, the second one for
// 1.2 s.
constexpr double kUntilServerComes = 0.3;
constexpr double kUntilSecondFreeze = 0.3;
constexpr double kUntilServerLeaves = 0.7;
constexpr double kUntilFirstWakes = 0.2;
constexpr double kUntilSecondWakes = 0.3;
// contact_ms and a bit: the second instance is in touch again.
constexpr double kInTouch = 3.2;
constexpr double kDrain = 2;
constexpr double kLastStart = 100;
constexpr int kClients = 12;
constexpr int kBookingsPerClient = 3;

// A server that leaves, and the instance that was frozen meanwhile.
struct Departure {
  Backend* server = nullptr;
  Entry* instance = nullptr;
  double acknowledged = 0;
  double checked_at = 0;
  std::thread check;
  std::atomic<int> late = 0;
};

// Books at the instance and counts what reaches the server too late.
void Check(Record& record, Departure& departure) {
  const double start = Seconds();
  std::vector<std::thread> clients;
  std::atomic<int> answered = 0;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      for (int n = 0; n < kBookingsPerClient; ++n) {
        auto connection = Connection::Open(departure.instance->address());
        const ClientRequest booking =
            MakeRequest("POST", "/book/deposit", "one pole");
        if (connection && connection->Write(booking.bytes) &&
            connection->Read(5).status() == 200)
          ++answered;
      }
    });
  }
  for (std::thread& client : clients)
    client.join();
  for (const Backend::Arrival& arrival : departure.server->arrivals()) {
    if (arrival.ran && arrival.at >= start &&
        arrival.at > departure.acknowledged + kDrain)
      ++departure.late;
  }
  char since[32];
  std::snprintf(since, sizeof(since), "%.1f s",
                start - departure.acknowledged);
  record.Line(departure.instance->name() + " answers " +
              std::to_string(answered) + " bookings; server " +
              departure.server->id() + ", whose row was removed " + since +
              " before, got " + std::to_string(departure.late) + " of them");
}

int Run(Record& record, const std::string& folder) {
  Store& store = Make<Store>();
  const Backend::Answer work = [](Backend&, Connection& connection,
                                  const Message& request) {
    Sleep(0.03);
    return connection.Write(
        Reply(200, "booked", Backend::Headers(request)));
  };
  store.Put("op", "config", Config());
  for (const char* id : {"i-app1", "i-app2"}) {
    Backend& server = Make<Backend>(record, id, work);
    server.set_quiet();
    store.Put("servers", id, server.Row("app"));
  }
  std::vector<Entry*> entries;
  for (int i = 0; i < kInstances; ++i)
    entries.push_back(&Make<Entry>(record, "front-a-" + std::to_string(i + 1),
                                   folder, store.address()));
  for (Entry* entry : entries) {
    if (!entry->WaitUntilReady())
      return kCouldNotRun;
  }
  Sleep(3);
  std::list<Departure> departures;
  int broken = 0;
  std::mt19937 random(27);
  for (int round = 0; Seconds() < kLastStart && broken == 0; ++round) {
    // An instance that is about to be checked stays as it is.
    std::vector<Entry*> free;
    for (Entry* entry : entries) {
      const bool checked = std::any_of(
          departures.begin(), departures.end(), [entry](const Departure& past) {
            return past.instance == entry && Seconds() < past.checked_at + 1;
          });
      if (!checked)
        free.push_back(entry);
    }
    std::shuffle(free.begin(), free.end(), random);
    Entry& first = *free[0];
    Entry& second = *free[1];
    Departure& departure = departures.emplace_back();
    departure.instance = &second;
    departure.server =
        &Make<Backend>(record, "i-new" + std::to_string(round + 1), work);
    departure.server->set_quiet();
    const std::string& id = departure.server->id();
    const bool trouble = TroubleIsOn();
    if (trouble)
      first.Signal(SIGSTOP);
    Sleep(kUntilServerComes);
    store.Put("servers", id, departure.server->Row("app"));
    record.Line("server " + id + " registers");
    Sleep(kUntilSecondFreeze);
    if (trouble)
      second.Signal(SIGSTOP);
    Sleep(kUntilServerLeaves);
    departure.acknowledged = store.Remove("servers", id);
    record.Line("server " + id + "'s row is removed; it serves on");
    Sleep(kUntilFirstWakes);
    if (trouble)
      first.Signal(SIGCONT);
    Sleep(kUntilSecondWakes);
    if (trouble)
      second.Signal(SIGCONT);
    departure.checked_at = Seconds() + kInTouch;
    departure.check = std::thread([&record, &departure] {
      Sleep(kInTouch);
      Check(record, departure);
    });
    for (const Departure& past : departures)
      broken += past.late;
  }
  broken = 0;
  for (Departure& departure : departures) {
    departure.check.join();
    broken += departure.late > 0 ? 1 : 0;
  }
  record.Line("servers that left: " + std::to_string(departures.size()) +
              ", that got requests over " + std::to_string(kDrain) +
              " s later: " + std::to_string(broken));
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  return review::RunCase("review/2/record.txt", review::Run);
}
