#include "peer/in_memory_network.h"

#include <algorithm>
#include <utility>

#include "peer/message_codec.h"

namespace bamboomount {

// Transport of one instance. The address of an instance is its id.
class InMemoryNetwork::Transport : public PeerTransport {
 public:
  Transport(InMemoryNetwork& network, InstanceId self)
      : network_(network), self_(std::move(self)) {}

  void Start(Handler handler) override {
    network_.handlers_[self_] = std::move(handler);
  }
  void Stop() override { network_.handlers_.erase(self_); }
  void SetAddress(const InstanceId& instance,
                  const std::string& address) override {
    addresses_[instance] = InstanceId(address);
  }
  void RemoveAddress(const InstanceId& instance) override {
    addresses_.erase(instance);
  }
  void Send(const InstanceId& instance, const PeerMessage& message) override {
    const auto found = addresses_.find(instance);
    if (found != addresses_.end())
      network_.Send(self_, found->second, EncodeMessage(self_, message));
  }

 private:
  InMemoryNetwork& network_;
  const InstanceId self_;
  std::map<InstanceId, InstanceId> addresses_;
};

std::unique_ptr<PeerTransport> InMemoryNetwork::Attach(
    const InstanceId& instance) {
  return std::make_unique<Transport>(*this, instance);
}

void InMemoryNetwork::Partition(std::vector<std::set<InstanceId>> groups) {
  groups_ = std::move(groups);
}

void InMemoryNetwork::Kill(const InstanceId& instance) {
  handlers_.erase(instance);
}

std::uint64_t InMemoryNetwork::sent_bytes_of(const InstanceId& instance) const {
  const auto found = sent_bytes_of_.find(instance);
  return found == sent_bytes_of_.end() ? 0 : found->second;
}

void InMemoryNetwork::Send(const InstanceId& from,
                           const InstanceId& to,
                           const std::string& bytes) {
  ++sent_messages_;
  sent_bytes_ += bytes.size();
  sent_bytes_of_[from] += bytes.size();
  if (!CanReach(from, to) || !handlers_.contains(from))
    return;
  std::uniform_real_distribution<double> chance(0, 1);
  if (faults_.drop > 0 && chance(random_) < faults_.drop)
    return;
  Enqueue(from, to, bytes);
  if (faults_.duplicate > 0 && chance(random_) < faults_.duplicate)
    Enqueue(from, to, bytes);
}

void InMemoryNetwork::Enqueue(const InstanceId& from,
                              const InstanceId& to,
                              const std::string& bytes) {
  std::uniform_int_distribution<std::int64_t> delay(faults_.min_delay.count(),
                                                    faults_.max_delay.count());
  queue_.push({now_ + Millis(delay(random_)), next_number_++, from, to, bytes});
}

bool InMemoryNetwork::CanReach(const InstanceId& from,
                               const InstanceId& to) const {
  if (groups_.empty())
    return true;
  return std::any_of(groups_.begin(), groups_.end(), [&](const auto& group) {
    return group.contains(from) && group.contains(to);
  });
}

void InMemoryNetwork::DeliverUntil(SteadyTime now) {
  while (!queue_.empty() && queue_.top().due <= now) {
    const InFlightMessage message = queue_.top();
    queue_.pop();
    now_ = std::max(now_, message.due);
    Deliver(message);
  }
  now_ = std::max(now_, now);
}

void InMemoryNetwork::Deliver(const InFlightMessage& message) {
  const auto found = handlers_.find(message.to);
  if (found == handlers_.end() || !CanReach(message.from, message.to))
    return;
  const auto decoded = DecodeMessage(message.bytes);
  if (!decoded)
    return;
  // Copied, because the handler may kill or stop its own instance.
  const PeerTransport::Handler handler = found->second;
  handler(decoded.value().sender, decoded.value().message);
}

}  // namespace bamboomount
