#!/usr/bin/env python3
"""Takes out one guard of the product at a time and shows which property breaks.

Usage: check/guards.py [NAME...]. Works on a copy of the sources in a temporary
folder, which it builds there. Prints a row for each guard; exits with 1 if a
property holds without its guard.
"""
import pathlib
import shutil
import subprocess
import sys
import tempfile

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
SRC = "src/gateway/"
MODEL = ["build/bin/model_check"]
STEADY_LEASE = MODEL + ["--world", "lease-steady", "--depth", "14"]
RESTORED_LEASE = MODEL + ["--world", "lease-restore"]
FUZZ = ["build/bin/fuzz_messages", "--seed", "1", "--seconds", "20"]

# Name, file, what stands there, what replaces it, program that must fail.
GUARDS = [
    ("takeover only after expiry", SRC + "duties/duty_lease.cc",
     "now - observed_since_ < duration_ + kTakeoverMargin", "now < observed_since_", STEADY_LEASE),
    ("lease counted from the send", SRC + "duties/duty_lease.cc",
     "snapshot.version, written->sent)", "snapshot.version, now)", STEADY_LEASE),
    ("row of another holder ends the lease", SRC + "duties/duty_lease.cc",
     "if (snapshot.row)\n    ObserveToken(snapshot.row->token);\n"
     "  if (!snapshot.row || snapshot.row->incarnation != incarnation_) {\n    held_.reset();",
     "if (held_ && snapshot.row) {\n    held_->version = snapshot.version;", STEADY_LEASE),
    ("token rises with each takeover", SRC + "duties/duty_lease.cc",
     "token = TokenAfter(*observed_);\n  if (token <= newest_token_)\n    return std::nullopt;", "token(1);",
     STEADY_LEASE),
    ("token is not of the row alone", SRC + "duties/duty_lease.cc",
     "TokenAfter(*observed_)", "(observed_->row ? observed_->row->token : FencingToken()) + FencingToken(1)",
     RESTORED_LEASE),
    ("tenure ends with its era", SRC + "duties/duty_lease.cc",
     "era_ = era;\n    held_.reset();", "era_ = era;", RESTORED_LEASE),
    ("takeover waits after a restore", SRC + "duties/duty_lease.cc",
     "held_.reset();\n    observed_.reset();", "held_.reset();", RESTORED_LEASE),
    ("takeover waits though the row is lost", SRC + "duties/duty_lease.cc",
     "observed_->row || MayHaveLostTenures();", "observed_->row.has_value();", RESTORED_LEASE),
    ("claim made for another era does not count", SRC + "duties/duty_lease.cc",
     "!EnterEra(era) || claim.row.era != era_", "!EnterEra(era)", RESTORED_LEASE),
    ("claims of an earlier era are forgotten", SRC + "duties/duty_lease.cc",
     "unresolved_claims_.clear();", "", RESTORED_LEASE),
    ("position of a peer proves nothing alone", SRC + "replication/table_replica.cc",
     "if (!has_newest_change && status.digest != digest_)", "if (false)", MODEL + ["--world", "replication-2"]),
    ("history starts anew after an advance by digest", SRC + "replication/table_replica.cc",
     "history_start_ = std::max(history_start_, status.revision);", "{}", MODEL + ["--world", "replication-3"]),
    ("old snapshot is dropped", SRC + "replication/table_follower.cc",
     "replica_.is_loaded() && position < replica_.position()", "false", MODEL + ["--world", "replication-lost", "--depth", "8"]),
    ("old change is dropped", SRC + "replication/table_replica.cc",
     "if (row.version <= position_)", "if (false)", MODEL + ["--world", "replication-2"]),
    ("status of another era proves nothing", SRC + "replication/table_replica.cc",
     " || status.position.era != position_.era", "", MODEL + ["--world", "replication-restore"]),
    ("changes of another era are dropped", SRC + "replication/table_follower.cc",
     "position.era != from.era || position.era != era()", "false", MODEL + ["--world", "replication-restore"]),
    ("confirmed when the store answered, not now", SRC + "membership/state_freshness.cc",
     "RecordConfirmed(EarliestLocalTime(store_time), store_time);", "RecordConfirmed(now, store_time);",
     MODEL + ["--world", "replication-2"]),
    ("work that may run once is not repeated", SRC + "forwarding/retry_rules.cc",
     "!MayRepeat(route.kind) || ", "", MODEL + ["--world", "attempts-once-2"]),
    ("no more runs than attempts", SRC + "forwarding/retry_rules.cc",
     " || history.possible_runs >= route.attempts", "", MODEL + ["--world", "attempts-safe-1"]),
    ("unmarked refusal is no promise", SRC + "forwarding/exchange.cc",
     "bool PromisesNotRun(unsigned status) {",
     "bool PromisesNotRun(unsigned status) {\n  if (status > 0)\n    return false;",
     MODEL + ["--world", "attempts-once-1"]),
    ("only the mark states not run", SRC + "forwarding/response_relay.cc",
     "return head.not_executed ||", "return head.not_executed || head.status == 503 ||",
     MODEL + ["--world", "attempts-once-1"]),
    ("failed work is no refusal", SRC + "forwarding/exchange.cc",
     "if (retries_.history().possible_runs == 0)\n    RefuseTemporarily(reason);",
     "if (true)\n    RefuseTemporarily(reason);", MODEL + ["--world", "attempts-once-1"]),
    ("success needs its proof", SRC + "forwarding/response_relay.cc",
     "(success && !head.sealed)", "false", MODEL + ["--world", "attempts-safe-1"]),
    ("answer of another request is skipped", SRC + "forwarding/backend_attempt.cc",
     "mismatched_reply_ = head.request_id != options_.id;", "mismatched_reply_ = false;",
     MODEL + ["--world", "attempts-safe-1"]),
    ("broken event is dropped", SRC + "forwarding/exchange.cc",
     "relay_.DropPartialEvent();", "", MODEL + ["--world", "attempts-resumable-2"]),
    ("spoilt id is no place", SRC + "forwarding/sse_framer.cc",
     "if (last && (!next || *next <= *last))", "if (false)", MODEL + ["--world", "attempts-resumable-2"]),
    ("another version does not continue", SRC + "forwarding/request_admission.cc",
     "if (stream_version && server.version != *stream_version)\n    return false;", "",
     MODEL + ["--world", "attempts-mixed-2"]),
    ("first event sets the version", SRC + "forwarding/stream_binding.cc",
     "recorded_ = true;", "return;", MODEL + ["--world", "attempts-mixed-2"]),
    ("resume goes to the version of its stream", SRC + "forwarding/stream_binding.cc",
     "request_.stream_version = origin->version;", "", MODEL + ["--world", "attempts-resumed-2"]),
    ("stream of unknown version is refused", SRC + "forwarding/exchange.cc",
     "RefuseTemporarily(*obstacle);", "BeginInPool(pool_);",
     MODEL + ["--world", "attempts-unknown-1"]),
    ("ambiguous framing is refused", "src/base/message_framing.cc",
     "bool IsUnambiguous(const MessageFraming& framing) {",
     "bool IsUnambiguous(const MessageFraming& framing) {\n  if (framing.version > 0)\n    return true;", FUZZ),
    ("odd heads are refused", "src/base/http_head_scanner.cc", "HeadVerdict::kFoldedLine", "HeadVerdict::kIncomplete",
     FUZZ),
    ("odd chunks are refused", "src/base/bounded_http_reader.cc", "return !chunks_.failed();",
     "error = {};\n  return true;", FUZZ),
    ("last chunk is given as a whole", "src/base/bounded_http_reader.h", "kMinFramingBytes = 5", "kMinFramingBytes = 0",
     FUZZ),
    ("trailers are no fields", SRC + "forwarding/caller_connection.cc",
     "if (chunked_head_)\n    request.message", "if (false)\n    request.message", FUZZ),
    ("connection with surplus bytes is closed", SRC + "forwarding/backend_attempt.cc",
     "connection_->reader.buffered_bytes() == 0;", "true;", FUZZ),
    ("idle connection with input is closed", SRC + "forwarding/backend_connection_pool.cc",
     "return error == asio::error::would_block;", "return true;", FUZZ),
    ("nesting of peers' messages is bounded", SRC + "replication/msgpack_parser.h", "kMaxMsgpackDepth = 32",
     "kMaxMsgpackDepth = 1'000'000", FUZZ),
    ("status is at least 100", "src/base/response_head_checker.cc", "kLowestStatus = 100", "kLowestStatus = 0", FUZZ),
    ("status is at most 599", "src/base/response_head_checker.cc", "kHighestStatus = 599", "kHighestStatus = 999", FUZZ),
    ("id fits into a head", SRC + "forwarding/sse_framer.cc", "if (!IsUsableId(id))", "if (id.empty())", FUZZ),
    ("row needs its fields", "platform/row_decoder.cc",
     'IntegerIn(json.at("sequence"), 0, std::numeric_limits<std::int64_t>::max());', "", FUZZ),
]


def build(folder):
    subprocess.run(["cmake", "--build", "build", "--target", "model_check", "fuzz_messages"], cwd=folder, check=True,
                   stdout=subprocess.DEVNULL)


def first_line(output):
    for line in output.splitlines():
        if ": " in line and "states" not in line and "repeat" not in line and "inputs" not in line:
            return line.split("; sent")[0][:110]
    return output[:110]


def check(folder, guard):
    name, file, old, new, command = guard
    path = folder / file
    text = path.read_text()
    if text.count(old) == 0:
        sys.exit(f"{name}: {file} has no {old!r}")
    path.write_text(text.replace(old, new))
    try:
        build(folder)
        run = subprocess.run(["timeout", "400"] + command, cwd=folder, capture_output=True, text=True,
                             errors="replace")
    finally:
        path.write_text(text)
    fails = run.returncode not in (0, 124)
    print(f"{'fails' if fails else 'HOLDS'} | {name} | {first_line(run.stdout + run.stderr) if fails else ''}", flush=True)
    return fails


def main():
    names = sys.argv[1:]
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary) / "copy"
        shutil.copytree(REPOSITORY, folder, ignore=shutil.ignore_patterns("build*", "target", "journal", ".git"))
        # A guard that is taken out leaves unused names behind.
        listing = folder / "CMakeLists.txt"
        listing.write_text(listing.read_text().replace("add_compile_options(-Wall -Wextra -Werror)", ""))
        subprocess.run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], cwd=folder, check=True,
                       stdout=subprocess.DEVNULL)
        build(folder)
        results = [check(folder, guard) for guard in GUARDS if not names or guard[0] in names]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
