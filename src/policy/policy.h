// Public header of the policy library: decisions without sockets or clocks.
// Times and random numbers are passed in.
#ifndef POLICY_POLICY_H_
#define POLICY_POLICY_H_

#include "policy/capacity_planner.h"
#include "policy/cell_backend.h"
#include "policy/cell_options.h"
#include "policy/cell_scheduler.h"
#include "policy/load_report.h"
#include "policy/output_estimator.h"
#include "policy/placement_registry.h"
#include "policy/queue_discipline.h"
#include "policy/retry_budget.h"
#include "policy/slot_request.h"

#endif  // POLICY_POLICY_H_
