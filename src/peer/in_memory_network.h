#ifndef PEER_IN_MEMORY_NETWORK_H_
#define PEER_IN_MEMORY_NETWORK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peer/peer_transport.h"

namespace bamboomount {

// Faults that an InMemoryNetwork adds to each message.
struct NetworkFaults {
  // Probabilities from 0 to 1.
  double drop = 0;
  double duplicate = 0;
  Millis min_delay{0};
  Millis max_delay{0};
};

// Connects transports inside one process for tests and benchmarks. Messages
// pass through the codec. Time is virtual and everything runs on the caller's
// thread, so that a run repeats exactly for a given seed. Not thread-safe.
class InMemoryNetwork {
 public:
  explicit InMemoryNetwork(std::uint64_t seed) : random_(seed) {}

  // The transport of `instance`. The network must outlive it. Attaching an
  // instance again, as after a restart, replaces the former transport.
  std::unique_ptr<PeerTransport> Attach(const InstanceId& instance);

  void set_faults(const NetworkFaults& faults) { faults_ = faults; }
  // Only messages between instances of the same group pass; an instance in no
  // group reaches nobody. Empty groups end the partition.
  void Partition(std::vector<std::set<InstanceId>> groups);
  // Messages to and from `instance` are lost from now on.
  void Kill(const InstanceId& instance);

  // Delivers, in order of their due times, all messages due up to `now`,
  // including those sent meanwhile.
  void DeliverUntil(SteadyTime now);

  SteadyTime now() const { return now_; }
  std::uint64_t sent_messages() const { return sent_messages_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t sent_bytes_of(const InstanceId& instance) const;

 private:
  class Transport;
  struct InFlightMessage {
    SteadyTime due;
    // Keeps messages with the same due time in order.
    std::uint64_t number = 0;
    InstanceId from;
    InstanceId to;
    std::string bytes;
    bool operator>(const InFlightMessage& other) const {
      return std::pair(due, number) > std::pair(other.due, other.number);
    }
  };

  void Send(const InstanceId& from,
            const InstanceId& to,
            const std::string& bytes);
  void Enqueue(const InstanceId& from,
               const InstanceId& to,
               const std::string& bytes);
  bool CanReach(const InstanceId& from, const InstanceId& to) const;
  void Deliver(const InFlightMessage& message);

  std::mt19937_64 random_;
  NetworkFaults faults_;
  std::vector<std::set<InstanceId>> groups_;
  std::map<InstanceId, PeerTransport::Handler> handlers_;
  std::map<InstanceId, std::uint64_t> sent_bytes_of_;
  std::priority_queue<InFlightMessage,
                      std::vector<InFlightMessage>,
                      std::greater<>>
      queue_;
  SteadyTime now_{};
  std::uint64_t next_number_ = 0;
  std::uint64_t sent_messages_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace bamboomount

#endif  // PEER_IN_MEMORY_NETWORK_H_
