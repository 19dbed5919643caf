#!/usr/bin/env bash
# Measures with scripts/rollout.sh the time until all 20 entry instances have an accepted change, and the time until 19 have
# it when the store is killed right after it accepted the change.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh
mkdir -p "$out"

scripts/rollout.sh "${CHANGES:-30}" >"$out/rollout.txt" 2>"$out/rollout.log"
# "changes=30 p50=.. ms p99=.. ms max=.. ms" is the summary. In the line after "store killed", the time is the last field but
# one.
summary=$(grep '^changes=' "$out/rollout.txt")
figure info "changes" "$(sed -E 's/.*changes=([0-9]+).*/\1/' <<<"$summary")" "" -
figure info "time until all 20 instances have a change, p50" "$(sed -E 's/.*p50=([0-9]+).*/\1/' <<<"$summary")" ms -
figure target "time until all 20 instances have a change, p99" "$(sed -E 's/.*p99=([0-9]+).*/\1/' <<<"$summary")" ms "<=" 1000
figure target "store killed after acceptance: time until 19 instances have the change" \
  "$(awk '/store killed/ { killed = 1; next } killed { print $(NF-1); exit }' "$out/rollout.txt")" ms "<=" 8000
