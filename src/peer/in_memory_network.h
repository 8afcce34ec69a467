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

// Faults that an InMemoryNetwork applies to each message.
struct NetworkFaults {
  // Probabilities from 0 to 1.
  double drop = 0;
  double duplicate = 0;
  // Bounds of the delivery delay, which is uniformly distributed.
  Millis min_delay{0};
  Millis max_delay{0};
};

// Connects transports within one process, for tests and benchmarks. Messages
// are encoded and decoded as on a real network. Time is virtual and all work
// runs on the caller's thread, so a run is reproducible from its seed. Not
// thread-safe.
class InMemoryNetwork {
 public:
  explicit InMemoryNetwork(std::uint64_t seed) : random_(seed) {}

  // Returns the transport of `instance`; the network must outlive it. If an
  // instance is attached again, as after a restart, the new transport replaces
  // the previous one.
  std::unique_ptr<PeerTransport> Attach(const InstanceId& instance);

  void set_faults(const NetworkFaults& faults) { faults_ = faults; }
  // Delivers only messages between instances of the same group; an instance in
  // no group is isolated. An empty list of groups ends the partition.
  void Partition(std::vector<std::set<InstanceId>> groups);
  // Drops all messages to and from `instance` until a new transport of it
  // starts.
  void Kill(const InstanceId& instance);

  // Advances the time to `now` and delivers, in order of their due times, all
  // messages due by then, including those sent during delivery.
  void DeliverUntil(SteadyTime now);

  SteadyTime now() const { return now_; }
  std::uint64_t sent_messages() const { return sent_messages_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint64_t sent_bytes_of(const InstanceId& instance) const;

 private:
  class Transport;
  struct InFlightMessage {
    SteadyTime due;
    // Orders messages with the same due time as they were sent.
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
