#include "config/internal/service_rules.h"

namespace bamboomount::internal {
namespace {

constexpr auto kRequired = FieldPresence::kRequired;
constexpr auto kOptional = FieldPresence::kOptional;

// Inclusive bounds that detect typing errors. They are not capacities of the
// system.
constexpr Range kCellSizeRange{1, 1024};
constexpr Range kCostRange{0, 1e6};
constexpr Range kSlotsRange{1, 4096};
constexpr Range kTierRange{0, 63};
constexpr Range kTargetMillisRange{1, 3.6e6};
// 0 means that the response is not streamed.
constexpr Range kInterTokenMillisRange{0, 3.6e6};
constexpr Range kQueueLimitRange{1, 1e6};
constexpr Range kShareRange{0.001, 1e6};
constexpr Range kAnyNumberRange{-1e18, 1e18};

}  // namespace

const FieldTable<ZoneRule>& ZoneFields() {
  static const FieldTable<ZoneRule> table = {
      {"zone", kRequired, IdField(&ZoneRule::zone)},
      {"region", kRequired, IdField(&ZoneRule::region)},
  };
  return table;
}

const FieldTable<PoolRule>& PoolFields() {
  static const FieldTable<PoolRule> table = {
      {"pool", kRequired, IdField(&PoolRule::pool)},
      {"kind", kRequired,
       EnumField(&PoolRule::kind, {{"model", PoolKind::kModel},
                                   {"service", PoolKind::kService}})},
      {"model", kOptional, TextField(&PoolRule::model, ReadNonEmptyText)},
      {"region", kRequired, IdField(&PoolRule::region)},
      {"cell_size", kOptional,
       IntegerField(&PoolRule::cell_size, kCellSizeRange)},
  };
  return table;
}

const FieldTable<BackendRule>& BackendFields() {
  static const FieldTable<BackendRule> table = {
      {"backend", kRequired, IdField(&BackendRule::backend)},
      {"address", kRequired, TextField(&BackendRule::address, ReadAddress)},
      {"zone", kRequired, IdField(&BackendRule::zone)},
      {"pool", kRequired, IdField(&BackendRule::pool)},
      {"kind", kRequired,
       EnumField(&BackendRule::kind, {{"firm", BackendKind::kFirm},
                                      {"cheap", BackendKind::kCheap}})},
      {"cost_per_hour", kRequired,
       NumberField(&BackendRule::cost_per_hour, kCostRange)},
      {"slots", kRequired, IntegerField(&BackendRule::slots, kSlotsRange)},
      {"checks_fencing", kOptional, BoolField(&BackendRule::checks_fencing)},
  };
  return table;
}

const FieldTable<ClassRule>& ClassFields() {
  static const FieldTable<ClassRule> table = {
      {"class", kRequired, IdField(&ClassRule::class_id)},
      {"tier", kRequired, IntegerField(&ClassRule::tier, kTierRange)},
      {"first_token_ms", kRequired,
       IntegerField(&ClassRule::first_token_target, kTargetMillisRange)},
      {"inter_token_ms", kRequired,
       IntegerField(&ClassRule::inter_token_target, kInterTokenMillisRange)},
      {"queue_limit", kRequired,
       IntegerField(&ClassRule::queue_limit, kQueueLimitRange)},
  };
  return table;
}

const FieldTable<RouteRule>& RouteFields() {
  static const FieldTable<RouteRule> table = {
      {"path", kRequired, TextField(&RouteRule::path, ReadPath)},
      {"class", kOptional, IdField(&RouteRule::class_id)},
      {"pool", kOptional, IdField(&RouteRule::pool)},
      {"open", kRequired, BoolField(&RouteRule::open)},
      {"repeatable", kRequired, BoolField(&RouteRule::repeatable)},
  };
  return table;
}

const FieldTable<CustomerRule>& CustomerFields() {
  static const FieldTable<CustomerRule> table = {
      {"customer", kRequired, IdField(&CustomerRule::customer)},
      {"share", kRequired, NumberField(&CustomerRule::share, kShareRange)},
      {"classes", kRequired, IdListField(&CustomerRule::classes)},
  };
  return table;
}

const FieldTable<LimitRule>& LimitFields() {
  static const FieldTable<LimitRule> table = {
      {"limit", kRequired, TextField(&LimitRule::name, ReadName)},
      {"value", kRequired, NumberField(&LimitRule::value, kAnyNumberRange)},
  };
  return table;
}

}  // namespace bamboomount::internal
