#!/usr/bin/env bash
# A shift onto cold caches with a ramp, one backend server 10 times slower, health and load endpoints that lie, and load
# figures that are 2 s old: the p99 of searches beside a run without the fault.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# trial NAME BOUND runs the load $settings with the function `disturb` and compares the p99 of search with that of the
# trial before for which `base` was empty. BOUND is a factor on it.
base=""
settings=load-misleading
trial() {
  local p99
  echo "== $1" >&2
  load_start "$settings" 9s
  sleep 1
  disturb
  load_wait "$1: "
  control DELETE /v1/faults >/dev/null
  p99=$(report .services.search.p99_ms)
  if [[ -z $base ]]; then
    base=$p99
    figure info "$1: p99 of search" "$p99" ms -
  else
    figure target "$1: p99 of search" "$p99" ms "<=" "$(jq -n "$base * $2")" "$base"
  fi
  figure target "$1: searches refused by backend servers" "$(report '.shed / .services.search.requests * 10000 | round / 100')" % "<=" 0.5
  figure info "$1: searches not answered well" "$(report '.services.search | .requests - .ok')" "" -
  sleep 1
}

deploy
disturb() { :; }
trial "no fault" 1
disturb() { fault '{"kind":"slow","server":"search-01","factor":10}'; }
trial "search-01 ten times slower" 1.3
disturb() { fault '{"kind":"load_lie"}'; fault '{"kind":"slow","server":"search-02","factor":10}'; }
trial "health and load endpoints lie and search-02 is ten times slower" 1.3
disturb() { fault '{"kind":"load_lag","delay_ms":2000}'; }
trial "load figures 2 s old" 1.3
disturb() { fault '{"kind":"load_silent"}'; }
trial "no load figures" 1.3
# Cold caches alone make a search 3 times longer, so that the shift is compared with cold caches without one, at a load that
# the receiving regions can carry cold.
base=""
settings=load-cold
disturb() { fault '{"kind":"cold","service":"search"}'; }
trial "cold caches without a shift" 1
disturb() {
  operate cap night --from pomorze --to mazowsze --max 20 --ramp 4 >/dev/null
  operate cap day --from pomorze --to malopolska --max 20 --ramp 4 >/dev/null
  fault '{"kind":"cold","service":"search"}'
  operate drain region pomorze >/dev/null
}
trial "region pomorze moved onto cold caches under a ramp" 1.25
ledger >"$out/shift.json"
figure info "region pomorze moved: most requests of the shift to mazowsze at once, 9 s of 4/s" \
  "$(jq '.shifts[] | select(.name == "pomorze>mazowsze").peak' "$out/shift.json")" "" -
