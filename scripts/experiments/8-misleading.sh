#!/usr/bin/env bash
# Compares the p99 of searches with that of a run without the fault, for these faults: one backend server 10 times slower,
# health and load endpoints that report wrong values, load figures that are 2 s old or missing, and a shift with a ramp onto
# cold caches.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# trial NAME BOUND runs the load $settings and calls the function `inject_faults` 1 s after its start. If `baseline` is empty,
# the p99 of search becomes the baseline; otherwise it is compared with BOUND times the baseline.
baseline=""
settings=load-misleading
trial() {
  local p99
  echo "== $1" >&2
  load_start "$settings" 9s
  sleep 1
  inject_faults
  load_wait "$1: "
  control DELETE /v1/faults >/dev/null
  p99=$(report .services.search.p99_ms)
  if [[ -z $baseline ]]; then
    baseline=$p99
    figure info "$1: p99 of search" "$p99" ms -
  else
    figure target "$1: p99 of search" "$p99" ms "<=" "$(jq -n "$baseline * $2")" "$baseline"
  fi
  figure target "$1: searches refused by backend servers" "$(report '.shed / .services.search.requests * 10000 | round / 100')" % "<=" 0.5
  figure info "$1: searches not answered well" "$(report '.services.search | .requests - .ok')" "" -
  sleep 1
}

deploy
inject_faults() { :; }
trial "no fault" 1
inject_faults() { fault '{"kind":"slow","server":"search-01","factor":10}'; }
trial "search-01 ten times slower" 1.3
inject_faults() { fault '{"kind":"load_lie"}'; fault '{"kind":"slow","server":"search-02","factor":10}'; }
trial "health and load endpoints lie and search-02 is ten times slower" 1.3
inject_faults() { fault '{"kind":"load_lag","delay_ms":2000}'; }
trial "load figures 2 s old" 1.3
inject_faults() { fault '{"kind":"load_silent"}'; }
trial "no load figures" 1.3
# Cold caches alone make a search take 3 times as long. The shift is therefore compared with cold caches without a shift, at a
# load that the receiving regions can serve with cold caches.
baseline=""
settings=load-cold
inject_faults() { fault '{"kind":"cold","service":"search"}'; }
trial "cold caches without a shift" 1
inject_faults() {
  make_change cap night --from pomorze --to mazowsze --max 20 --ramp 4 >/dev/null
  make_change cap day --from pomorze --to malopolska --max 20 --ramp 4 >/dev/null
  fault '{"kind":"cold","service":"search"}'
  make_change drain region pomorze >/dev/null
}
trial "region pomorze moved onto cold caches under a ramp" 1.25
ledger >"$out/shift.json"
figure info "region pomorze moved: most requests of the shift to mazowsze at once, 9 s of 4/s" \
  "$(jq '.shifts[] | select(.name == "pomorze>mazowsze").peak' "$out/shift.json")" "" -
