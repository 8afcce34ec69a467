#include "gateway/admission/admission_controller.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr int kInstances = 60;
// A plain service: 4 servers with 6 slots and answers in 30 ms.
constexpr int kServers = 4;
constexpr int kSlots = 24;
// Requests that the servers hold at most; they refuse others themselves.
constexpr int kMaxAtService = 120;
constexpr int kServiceMillis = 30;
constexpr double kServerSeconds = 0.005;
constexpr double kCapacityPerSecond = 800;
// Requests per second at normal traffic.
constexpr double kNormalRate = 220;
constexpr int kStepMillis = 5;
// Age of the reports that instances have of each other.
constexpr int kReportInterval = 900;
constexpr int kBurstStart = 3000;
constexpr int kEnd = 15'000;
// The controllers have learned of the burst by then.
constexpr int kMeasureFrom = 7000;

const PoolId kPool("p");
const CustomerId kLarge("large");
const CustomerId kSmall("small");

struct Instance {
  DemandMeter meter;
  FleetDemand fleet;
  AdmissionController controller{meter, fleet};
};

struct Outcome {
  int offered = 0;
  int admitted = 0;
};

// Offers requests of two customers to 60 instances, which report their demand
// to each other late. The service queues some of what it cannot run at once.
// Counts requests by customer and tier after kMeasureFrom.
class Burst {
 public:
  // Rates in requests per second over all instances, from kBurstStart on.
  using Rates = std::map<std::pair<Tier, CustomerId>, double>;

  explicit Burst(Rates rates) : rates_(std::move(rates)) {
    for (int i = 0; i < kInstances; ++i)
      instances_.push_back(std::make_unique<Instance>());
  }

  std::map<std::pair<Tier, CustomerId>, Outcome> Run() {
    for (int now = 0; now < kEnd; now += kStepMillis) {
      Serve(now);
      if (now % kReportInterval == 0)
        ExchangeReports(now);
      for (const auto& [group, rate] : rates_) {
        const double now_rate =
            now < kBurstStart ? rate / Total() * kNormalRate : rate;
        std::poisson_distribution<int> arrivals(now_rate * kStepMillis / 1000);
        for (int n = arrivals(random_); n > 0; --n)
          Offer(group, now);
      }
    }
    return outcomes_;
  }

 private:
  double Total() const {
    double total = 0;
    for (const auto& [group, rate] : rates_)
      total += rate;
    return total;
  }

  void Serve(int now) {
    std::erase_if(running_until_, [now](int end) { return end <= now; });
    while (queued_ > 0 && running_until_.size() < kSlots) {
      running_until_.push_back(now + kServiceMillis);
      --queued_;
    }
    if (now % kReportInterval == 0)
      reported_at_service_ = AtService();
  }

  int AtService() const {
    return queued_ + static_cast<int>(running_until_.size());
  }

  void ExchangeReports(int now) {
    for (int i = 0; i < kInstances; ++i) {
      const auto report = instances_[i]->meter.Report({kPool}, At(now));
      for (int j = 0; j < kInstances; ++j) {
        if (i != j)
          instances_[j]->fleet.SetPeerDemand(InstanceId(std::to_string(i)),
                                             report, At(now));
      }
    }
  }

  void Offer(const std::pair<Tier, CustomerId>& group, int now) {
    std::uniform_real_distribution<double> draw(0, 1);
    const auto index = static_cast<std::size_t>(draw(random_) * kInstances);
    AdmissionController& controller = instances_[index]->controller;
    if (controller.IsUpdateDue(kPool, At(now)))
      controller.Update(
          kPool, {false, kServers, kSlots, reported_at_service_, kInstances},
          At(now));
    const bool admitted = controller.Admit(
        {kPool, group.first, group.second, kServerSeconds, true}, draw(random_),
        At(now));
    if (admitted && AtService() < kMaxAtService)
      ++queued_;
    if (now < kMeasureFrom)
      return;
    ++outcomes_[group].offered;
    outcomes_[group].admitted += admitted ? 1 : 0;
  }

  Rates rates_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::mt19937 random_{7};
  // When each running request ends.
  std::vector<int> running_until_;
  int queued_ = 0;
  int reported_at_service_ = 0;
  std::map<std::pair<Tier, CustomerId>, Outcome> outcomes_;
};

double Share(const Outcome& outcome) {
  return static_cast<double>(outcome.admitted) / outcome.offered;
}

BOOST_AUTO_TEST_SUITE(admission_controller)

// Load: 6 and 12 times the traffic on a pool of 24 slots, 0.4 of a slot for
// each of 60 instances. Guards against a service that gets far more requests
// than it can run and refuses them itself, and against idle servers.
BOOST_AUTO_TEST_CASE(a_burst_reaches_a_service_at_the_rate_that_it_can_run) {
  for (const int factor : {6, 12}) {
    const std::pair<Tier, CustomerId> group{Tier(0), kLarge};
    Burst burst({{group, factor * kNormalRate}});
    const double rate =
        burst.Run()[group].admitted * 1000.0 / (kEnd - kMeasureFrom);
    BOOST_TEST(rate < 1.3 * kCapacityPerSecond);
    BOOST_TEST(rate > 0.8 * kCapacityPerSecond);
  }
}

// Load: normal traffic. Guards against refusals while there is room.
BOOST_AUTO_TEST_CASE(normal_traffic_is_admitted) {
  const std::pair<Tier, CustomerId> group{Tier(0), kLarge};
  Burst burst({{group, kNormalRate}});
  BOOST_TEST(Share(burst.Run()[group]) == 1);
}

// Load: one customer at nine times its traffic. Guards against a surge that
// lowers the share of other customers' requests that are served.
BOOST_AUTO_TEST_CASE(a_surge_of_one_customer_does_not_shed_the_others) {
  const std::pair<Tier, CustomerId> large{Tier(0), kLarge};
  const std::pair<Tier, CustomerId> small{Tier(0), kSmall};
  Burst burst({{large, 9 * kNormalRate}, {small, kNormalRate}});
  auto outcomes = burst.Run();
  BOOST_TEST(Share(outcomes[small]) > 0.95);
  BOOST_TEST(Share(outcomes[large]) < 0.5);
}

// Load: a burst of less urgent requests. Guards against urgent requests that
// are refused while less urgent ones are admitted.
BOOST_AUTO_TEST_CASE(urgent_requests_are_admitted_in_a_burst_of_others) {
  const std::pair<Tier, CustomerId> urgent{Tier(0), kSmall};
  const std::pair<Tier, CustomerId> other{Tier(1), kSmall};
  Burst burst({{urgent, kNormalRate}, {other, 9 * kNormalRate}});
  auto outcomes = burst.Run();
  BOOST_TEST(Share(outcomes[urgent]) == 1);
  BOOST_TEST(Share(outcomes[other]) < 0.5);
}

// Guards against urgent requests of an engine that get no answer where they
// could get a late one.
BOOST_AUTO_TEST_CASE(requests_that_must_not_be_shed_only_count_as_demand) {
  Instance instance;
  for (int i = 0; i < 1000; ++i)
    BOOST_TEST(instance.controller.Admit({kPool, Tier(0), kLarge, 1, false}, 0,
                                         At(0)));
  instance.controller.Update(kPool, {true, kServers, kSlots, kSlots, 1}, At(0));
  BOOST_TEST(
      instance.controller.Admit({kPool, Tier(0), kLarge, 1, false}, 0, At(0)));
  BOOST_TEST(!instance.controller.Admit({kPool, Tier(1), kSmall, 1}, 0, At(0)));
}

// Guards against refusals while fewer than half of the slots are in use.
BOOST_AUTO_TEST_CASE(nothing_is_refused_while_most_slots_are_free) {
  Instance instance;
  for (int i = 0; i < 1000; ++i)
    instance.meter.RecordOffered(kPool, Tier(0), kLarge, 1, At(0));
  const auto change = instance.controller.Update(
      kPool, {false, kServers, kSlots, 11, 1}, At(0));
  BOOST_TEST(change->overloaded);
  BOOST_TEST(instance.controller.Admit({kPool, Tier(0), kLarge, 1}, 0, At(0)));
  instance.controller.Update(kPool, {false, kServers, kSlots, 12, 1}, At(250));
  BOOST_TEST(
      !instance.controller.Admit({kPool, Tier(0), kLarge, 1}, 0, At(250)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
