#include "gateway/admission/request_cost_model.h"

#include <algorithm>
#include <chrono>

namespace bamboomount {
namespace {

// Weight of one answer in the mean time of its route.
constexpr double kSampleWeight = 1.0 / 32;

double Seconds(Millis time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double RequestCostModel::ServerSeconds(const CostQuery& query,
                                       int slots) const {
  const auto learned = seconds_at_server_.find({query.pool, query.route});
  const double seconds = learned == seconds_at_server_.end()
                             ? Seconds(query.target_latency)
                             : learned->second;
  double cost = seconds / std::max(1, slots);
  if (!query.engine)
    return cost;
  cost = std::max(
      cost, Seconds(throughput_.PrefillTime(query.pool, query.prefill_tokens)));
  const auto memory = static_cast<double>(query.engine->kv_capacity.value());
  if (memory > 0)
    cost = std::max(
        cost,
        seconds * static_cast<double>(query.memory_tokens.value()) / memory);
  return cost;
}

void RequestCostModel::RecordAnswer(const CostQuery& query,
                                    Millis time_at_server,
                                    bool server_was_full) {
  if (server_was_full)
    return;
  const double seconds = Seconds(time_at_server);
  const auto [entry, is_first] =
      seconds_at_server_.try_emplace({query.pool, query.route}, seconds);
  if (!is_first)
    entry->second += kSampleWeight * (seconds - entry->second);
}

}  // namespace bamboomount
