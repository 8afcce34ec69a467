// Processor time and encoded size of single messages, and processor time of
// owner changes.
#include <benchmark/benchmark.h>

#include <limits>

#include "peer/peer.h"

namespace bamboomount {
namespace {

class NullTransport : public PeerTransport {
 public:
  void Start(Handler /*handler*/) override {}
  void Stop() override {}
  void SetAddress(const InstanceId& /*instance*/,
                  const std::string& /*address*/) override {}
  void RemoveAddress(const InstanceId& /*instance*/) override {}
  void Send(const InstanceId& /*instance*/,
            const PeerMessage& /*message*/) override {}
};

InstanceId IdOf(int number) {
  return InstanceId("entry-" + std::to_string(1000 + number));
}

std::string AddressOf(int number) {
  return "10.0." + std::to_string(number / 250) + "." +
         std::to_string(number % 250) + ":7400";
}

HeartbeatMessage FirstHeartbeat(int number) {
  HeartbeatMessage message;
  message.self.instance = IdOf(number);
  message.self.peer_address = AddressOf(number);
  message.self.incarnation = Incarnation(1764800000000 + number);
  message.self.heartbeat = HeartbeatNumber(100000);
  message.self.sequence = ChangeSequence(100000);
  message.confirmation_age = Millis(500);
  return message;
}

// A roster of `size` routers, with a heartbeat received from each.
Roster MakeRoster(int size, Roster::Random& random) {
  // No router replies in this benchmark, and none must be removed because of
  // it.
  RosterOptions options;
  options.suspect_after_intervals = std::numeric_limits<int>::max();
  options.remove_after_intervals = std::numeric_limits<int>::max();
  Roster roster(IdOf(0), AddressOf(0), Incarnation(1764800000000), options);
  for (int i = 1; i < size; ++i) {
    roster.HandleHeartbeat(IdOf(i), FirstHeartbeat(i), SteadyTime(), {},
                           random);
  }
  return roster;
}

// One heartbeat interval: choose targets, make and encode their heartbeats.
void SendHeartbeats(benchmark::State& state) {
  Roster::Random random(1);
  Roster roster = MakeRoster(static_cast<int>(state.range(0)), random);
  std::size_t bytes = 0;
  std::size_t messages = 0;
  for (auto _ : state) {
    for (const auto& heartbeat :
         roster.Tick(SteadyTime(std::chrono::hours(1)), {}, random)) {
      bytes += EncodeMessage(IdOf(0), heartbeat.message).size();
      ++messages;
    }
  }
  state.counters["bytes_per_heartbeat"] =
      static_cast<double>(bytes) / static_cast<double>(messages);
  state.counters["heartbeats"] =
      static_cast<double>(messages) / static_cast<double>(state.iterations());
}
BENCHMARK(SendHeartbeats)->Arg(9)->Arg(32)->Arg(350);

void ReceiveHeartbeat(benchmark::State& state) {
  const int size = static_cast<int>(state.range(0));
  Roster::Random random(1);
  Roster roster = MakeRoster(size, random);
  HeartbeatMessage message = FirstHeartbeat(1);
  for (int i = 2; i < std::min(size, 10); ++i)
    message.sample.push_back(FirstHeartbeat(i).self);
  const std::string bytes = EncodeMessage(IdOf(1), message);
  for (auto _ : state) {
    const auto decoded = DecodeMessage(bytes);
    benchmark::DoNotOptimize(roster.HandleHeartbeat(
        IdOf(1), std::get<HeartbeatMessage>(decoded.value().message),
        SteadyTime(), {}, random));
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(ReceiveHeartbeat)->Arg(9)->Arg(32)->Arg(350);

SlotRequest MakeRequest(int number) {
  SlotRequest request;
  request.request =
      RequestId(IdOf(0).value() + "-" + std::to_string(100000000 + number));
  request.class_id = ClassId("live-chat");
  request.tier = Tier(1);
  request.customer = CustomerId("customer-0123");
  request.queue_limit = 100;
  request.first_token_target = Millis(430);
  request.prompt_tokens = Tokens(1200);
  request.max_output_tokens = Tokens(800);
  request.prefix_hash = 0x0123456789abcdef;
  request.entry_zone = ZoneId("bern-a");
  return request;
}

ServiceConfig MakeConfig(int backends, int pools, int cell_size) {
  ServiceConfig config;
  for (int i = 0; i < pools; ++i) {
    PoolRule pool;
    pool.pool = PoolId("model-" + std::to_string(i));
    pool.cell_size = cell_size;
    config.pools.push_back(pool);
  }
  for (int i = 0; i < backends; ++i) {
    BackendRule backend;
    backend.backend = BackendId("engine-" + std::to_string(i));
    backend.pool = config.pools[static_cast<std::size_t>(i % pools)].pool;
    backend.slots = 32;
    config.backends.push_back(backend);
  }
  return config;
}

std::vector<RosterMember> MakeMembers(int size) {
  std::vector<RosterMember> members;
  for (int i = 0; i < size; ++i) {
    RosterMember member;
    member.instance = IdOf(i);
    member.incarnation = Incarnation(1);
    members.push_back(member);
  }
  return members;
}

// The work of the owner for one request: decode the request, queue and grant
// it, encode both replies, and decode the release.
void SlotCycleAtOwner(benchmark::State& state) {
  const CellMap map(MakeConfig(8, 1, 8));
  const Cell& cell = map.cells().begin()->second;
  OwnedCell owned(cell, Incarnation(1), MakeMembers(2), SteadyTime());
  SteadyTime now{};
  now += std::chrono::seconds(1);
  owned.Tick(now);
  std::size_t bytes[4] = {};
  int number = 0;
  for (auto _ : state) {
    now += Millis(1);
    const SlotRequest request = MakeRequest(++number % 100000);
    const SlotAttempt attempt(static_cast<std::uint64_t>(number));
    const auto asked =
        EncodeMessage(IdOf(1), SlotRequestMessage{cell.cell, attempt, request});
    const auto answers = owned.OnRequest(
        IdOf(1),
        std::get<SlotRequestMessage>(DecodeMessage(asked).value().message),
        now);
    std::size_t kind = 0;
    bytes[kind++] = asked.size();
    for (const OutgoingMessage& answer : answers)
      bytes[kind++] = EncodeMessage(IdOf(0), answer.message).size();
    const auto released = EncodeMessage(
        IdOf(1), SlotReleaseMessage{cell.cell,
                                    attempt,
                                    request.request,
                                    {SlotEnd::kCompleted, Tokens(440),
                                     Millis(300), Millis(9000)}});
    bytes[3] = released.size();
    owned.OnRelease(
        IdOf(1),
        std::get<SlotReleaseMessage>(DecodeMessage(released).value().message),
        now);
  }
  state.counters["request_bytes"] = static_cast<double>(bytes[0]);
  state.counters["accepted_bytes"] = static_cast<double>(bytes[1]);
  state.counters["grant_bytes"] = static_cast<double>(bytes[2]);
  state.counters["release_bytes"] = static_cast<double>(bytes[3]);
}
BENCHMARK(SlotCycleAtOwner);

// The work of each router when one leaves the roster, for 630 servers of 6
// models in cells of 8.
void OwnerChange(benchmark::State& state) {
  NullTransport transport;
  auto members = MakeMembers(static_cast<int>(state.range(0)));
  auto fewer = members;
  fewer.erase(fewer.begin() + 4);
  DistributedSlotBroker broker(
      IdOf(0), Incarnation(1), transport, MakeConfig(630, 6, 8),
      [] { return SteadyTime(std::chrono::hours(1)); });
  bool all = true;
  for (auto _ : state) {
    broker.UpdateRoster(all ? fewer : members);
    all = !all;
  }
}
BENCHMARK(OwnerChange)->Arg(9)->Arg(32)->Arg(350);

// A new owner processes the reports of all routers, with one running request
// each.
void CollectReports(benchmark::State& state) {
  const int size = static_cast<int>(state.range(0));
  const CellMap map(MakeConfig(8, 1, 8));
  const Cell& cell = map.cells().begin()->second;
  const auto members = MakeMembers(size);
  std::vector<std::string> reports;
  std::size_t bytes = 0;
  for (int i = 0; i < size; ++i) {
    reports.push_back(EncodeMessage(
        IdOf(i),
        CellReportMessage{
            cell.cell,
            Incarnation(1),
            {{SlotAttempt(1), MakeRequest(i),
              BackendId("engine-" + std::to_string(i % 8)), Tokens(100)}},
            {}}));
    bytes += reports.back().size();
  }
  for (auto _ : state) {
    OwnedCell owned(cell, Incarnation(1), members, SteadyTime());
    for (int i = 0; i < size; ++i) {
      const auto decoded = DecodeMessage(reports[static_cast<std::size_t>(i)]);
      owned.OnReport(decoded.value().sender,
                     std::get<CellReportMessage>(decoded.value().message),
                     SteadyTime());
    }
    benchmark::DoNotOptimize(owned.running());
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(CollectReports)->Arg(9)->Arg(32)->Arg(350);

}  // namespace
}  // namespace bamboomount
