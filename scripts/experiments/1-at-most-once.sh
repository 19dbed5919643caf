#!/usr/bin/env bash
# Repeats submissions with idempotency keys at other entry instances while the store loses replies and is unavailable, and
# entry instances are killed and paused. Compares the outcomes reported to callers with the requests that ran.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# store_calls PREFIX prints the store's reads and writes per second and per submission.
store_calls() {
  local submissions
  submissions=$(report '.services.submissions.requests + .repeats')
  figure target "$1store reads per second" "$(report '.store_reads / .duration_s * 10 | round / 10')" 1/s "<=" 2000
  figure target "$1store writes per second" "$(report '.store_writes / .duration_s * 10 | round / 10')" 1/s "<=" 400
  figure info "$1store writes per submission" "$(report ".store_writes / $submissions * 100 | round / 100")" "" -
  figure info "$1store reads per submission" "$(report ".store_reads / $submissions * 100 | round / 100")" "" -
}

deploy
load_start load-submissions 8s
load_wait "without faults: "
ok=$(report '.services.submissions.ok / .services.submissions.requests * 1000 | round / 10')
p99=$(report .services.submissions.p99_ms)
store_calls "without faults: "

load_start load-submissions 30s $((SEED + 1))
sleep 2
fault '{"kind":"store_lost_reply","share":0.3,"for_ms":6000}'
sleep 3
signal KILL "$(home malopolska)" entry-09
sleep 4
paused=$(home mazowsze)
signal STOP "$paused"
sleep 3
signal CONT "$paused"
sleep 2
fault '{"kind":"store_outage","mode":"refuse","for_ms":5000}'
sleep 2
fault '{"kind":"store_lost_reply","share":0.3,"for_ms":6000}'
signal KILL entry-12
load_wait
figure info "submissions" "$(report .services.submissions.requests)" "" -
figure info "submissions that succeeded" "$(report '.services.submissions.ok / .services.submissions.requests * 1000 | round / 10')" % - "" "$ok"
figure info "submissions refused as not run" "$(report .services.submissions.refused_not_run)" "" -
figure info "submissions answered unknown" "$(report .services.submissions.unknown)" "" -
figure info "repeats" "$(report .repeats)" "" -
figure info "p99 of submissions" "$(report .services.submissions.p99_ms)" ms - "" "$p99"
store_calls ""
