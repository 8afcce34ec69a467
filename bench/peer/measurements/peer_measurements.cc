// Figures of whole rosters in virtual time, and of real sockets, for the
// capacity page. Log lines go to standard error.
#include <time.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "peer/peer_cluster.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

constexpr Millis kMaxLatency{2};

double ProcessCpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * 1e-9;
}

// Bytes of a line such as "VmRSS:  1234 kB".
std::int64_t ResidentBytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word != "VmRSS:")
      continue;
    std::int64_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes * 1024;
  }
  return 0;
}

// Runs a fresh cluster until all rosters agree and mentions of the joins have
// died down.
std::unique_ptr<PeerCluster> MakeCluster(int size, std::uint64_t seed) {
  auto cluster = std::make_unique<PeerCluster>(size, seed);
  cluster->network.set_faults({0, 0, Millis(0), kMaxLatency});
  cluster->Run(seconds(20));
  if (!cluster->RostersAgree())
    std::printf("size=%d seed=%lu: rosters do not agree after 20 s\n", size,
                static_cast<unsigned long>(seed));
  return cluster;
}

void MeasureSteadyState(int size) {
  const auto cluster = MakeCluster(size, 1);
  constexpr int kSeconds = 20;
  const auto bytes = cluster->network.sent_bytes();
  const auto messages = cluster->network.sent_messages();
  const double cpu = ProcessCpuSeconds();
  cluster->Run(seconds(kSeconds));
  const double per_node_second = 1.0 / (size * kSeconds);
  std::printf(
      "steady size=%d messages_per_s=%.2f sent_bytes_per_s=%.0f "
      "cpu_us_per_s=%.1f\n",
      size,
      static_cast<double>(cluster->network.sent_messages() - messages) *
          per_node_second,
      static_cast<double>(cluster->network.sent_bytes() - bytes) *
          per_node_second,
      (ProcessCpuSeconds() - cpu) * per_node_second * 1e6);
  std::vector<int> live_counts;
  for (const auto& [id, router] : cluster->routers)
    live_counts.push_back(router->node->CountLiveWithin(Millis(4000)).live);
  std::sort(live_counts.begin(), live_counts.end());
  std::printf("heard_within_4s size=%d min=%d median=%d of=%d\n", size,
              live_counts.front(), live_counts[live_counts.size() / 2], size);
}

bool IsInAnyRoster(const PeerCluster& cluster, const InstanceId& dead) {
  return std::any_of(cluster.routers.begin(), cluster.routers.end(),
                     [&](const auto& entry) {
                       if (!entry.second->alive)
                         return false;
                       const auto members = entry.second->node->Members();
                       return std::any_of(members.begin(), members.end(),
                                          [&](const RosterMember& member) {
                                            return member.instance == dead;
                                          });
                     });
}

void MeasureRemoval(int size, int runs) {
  std::vector<double> removal;
  int false_removals = 0;
  for (int seed = 1; seed <= runs; ++seed) {
    const auto cluster = MakeCluster(size, static_cast<std::uint64_t>(seed));
    cluster->Kill(PeerCluster::IdOf(size / 2));
    const SteadyTime start = cluster->network.now();
    while (IsInAnyRoster(*cluster, PeerCluster::IdOf(size / 2)) &&
           cluster->network.now() < start + seconds(200)) {
      cluster->Run(Millis(100));
    }
    const std::chrono::duration<double> taken = cluster->network.now() - start;
    removal.push_back(taken.count());
    false_removals += cluster->RostersAgree() ? 0 : 1;
  }
  std::sort(removal.begin(), removal.end());
  std::printf(
      "removal size=%d runs=%d min_s=%.2f median_s=%.2f max_s=%.2f "
      "runs_with_other_removals=%d\n",
      size, runs, removal.front(), removal[removal.size() / 2], removal.back(),
      false_removals);
}

// Time until a request at a surviving router is granted by the new owner of
// the dead one's cell.
void MeasureNewOwner(int size, int runs) {
  std::vector<double> times;
  for (int seed = 1; seed <= runs; ++seed) {
    PeerCluster cluster(size, static_cast<std::uint64_t>(seed), true,
                        MakeConfig(8, 8, 8));
    cluster.network.set_faults({0, 0, Millis(0), kMaxLatency});
    cluster.Run(seconds(20));
    const auto owner =
        OwnerOf(CellId("futter/0"), cluster.at(0).node->Members());
    cluster.Kill(owner->instance);
    const auto taken = cluster.RunUntil(
        [&] {
          return std::any_of(
              cluster.routers.begin(), cluster.routers.end(),
              [](const auto& entry) {
                return entry.second->alive &&
                       !entry.second->broker->OwnedCells().empty();
              });
        },
        seconds(200));
    times.push_back(taken ? static_cast<double>(taken->count()) / 1000 : 999);
  }
  std::sort(times.begin(), times.end());
  std::printf("new_owner size=%d runs=%d median_s=%.2f max_s=%.2f\n", size,
              runs, times[times.size() / 2], times.back());
}

// Memory of real sockets: one router connected to `peers` others.
void MeasureSockets(int peers) {
  std::vector<std::unique_ptr<NngPeerTransport>> others;
  const auto ignore = [](const InstanceId&, const PeerMessage&) {};
  NngPeerTransport hub(PeerCluster::IdOf(0), "127.0.0.1:0");
  hub.Start(ignore);
  const auto before = ResidentBytes();
  for (int i = 1; i <= peers; ++i) {
    others.push_back(std::make_unique<NngPeerTransport>(PeerCluster::IdOf(i),
                                                        "127.0.0.1:0"));
    others.back()->Start(ignore);
  }
  const auto listening = ResidentBytes();
  for (int i = 1; i <= peers; ++i) {
    hub.SetAddress(PeerCluster::IdOf(i),
                   others[static_cast<std::size_t>(i - 1)]->address());
    hub.Send(PeerCluster::IdOf(i), LeavingMessage{});
  }
  timespec pause{1, 0};
  nanosleep(&pause, nullptr);
  const auto connected = ResidentBytes();
  std::printf(
      "sockets peers=%d listener_bytes_each=%ld connection_bytes_each=%ld\n",
      peers, static_cast<long>((listening - before) / peers),
      static_cast<long>((connected - listening) / peers));
}

// Processor time of sending and receiving over real sockets.
void MeasureSocketMessages(int messages) {
  NngPeerTransport sender(PeerCluster::IdOf(0), "127.0.0.1:0");
  NngPeerTransport receiver(PeerCluster::IdOf(1), "127.0.0.1:0");
  std::atomic<int> received{0};
  receiver.Start([&](const InstanceId&, const PeerMessage&) { ++received; });
  sender.SetAddress(PeerCluster::IdOf(1), receiver.address());
  HeartbeatMessage heartbeat;
  heartbeat.self.instance = PeerCluster::IdOf(0);
  heartbeat.self.peer_address = "10.0.0.1:7400";
  heartbeat.sample.assign(8, heartbeat.self);
  const double cpu = ProcessCpuSeconds();
  const timespec pause{0, 100000};
  for (int sent = 1; sent <= messages; ++sent) {
    sender.Send(PeerCluster::IdOf(1), heartbeat);
    // Within the queue's length, so that nothing is dropped.
    while (sent % 256 == 0 && received < sent)
      nanosleep(&pause, nullptr);
  }
  std::printf("socket_message messages=%d cpu_us_each=%.1f\n", messages,
              (ProcessCpuSeconds() - cpu) / messages * 1e6);
}

}  // namespace
}  // namespace bamboomount

int main(int argc, char** argv) {
  using namespace bamboomount;
  // Keeps earlier figures if a long run is stopped.
  setvbuf(stdout, nullptr, _IOLBF, 0);
  const bool large = argc > 1 && std::string(argv[1]) == "--large";
  MeasureSockets(349);
  MeasureSocketMessages(256 * 200);
  for (const int size : {9, 32}) {
    MeasureSteadyState(size);
    MeasureRemoval(size, 20);
    MeasureNewOwner(size, 20);
  }
  for (const int size : {48, 64, 100})
    MeasureSteadyState(size);
  if (large) {
    MeasureSteadyState(350);
    MeasureRemoval(350, 2);
    MeasureNewOwner(350, 1);
  }
  return 0;
}
