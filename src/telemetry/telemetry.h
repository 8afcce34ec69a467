// Public header of the telemetry library: log events, metrics, spans.
#ifndef TELEMETRY_TELEMETRY_H_
#define TELEMETRY_TELEMETRY_H_

#include "telemetry/log.h"
#include "telemetry/log_event.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"
#include "telemetry/trace_context.h"

#endif  // TELEMETRY_TELEMETRY_H_
