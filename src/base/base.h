// Public header of the base library: identifiers, units, errors, clocks,
// digests, hashing and the framing of HTTP messages. What needs Boost.Beast or
// Boost.Asio has headers of its own: the reader of HTTP messages in
// base/bounded_http_reader.h and the check of their end in base/response_end.h.
#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/chunk_framing_meter.h"
#include "base/chunked_body_scanner.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/http_head_scanner.h"
#include "base/ids.h"
#include "base/message_framing.h"
#include "base/rendezvous_hash.h"
#include "base/response_head_checker.h"
#include "base/result.h"
#include "base/run_verdict.h"
#include "base/strong_id.h"
#include "base/units.h"

#endif  // BASE_BASE_H_
