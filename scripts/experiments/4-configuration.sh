#!/usr/bin/env bash
# Measures the time until all 20 entry instances have an accepted change, and the same with the store killed right after
# the acceptance, with scripts/rollout.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh
mkdir -p "$out"

scripts/rollout.sh "${CHANGES:-30}" >"$out/rollout.txt" 2>"$out/rollout.log"
# The line "changes=30 p50=.. ms p99=.. ms max=.. ms" sums up; the line after the kill of the store has the time last but one.
summary=$(grep '^changes=' "$out/rollout.txt")
figure info "changes" "$(sed -E 's/.*changes=([0-9]+).*/\1/' <<<"$summary")" "" -
figure info "time until all 20 instances have a change, p50" "$(sed -E 's/.*p50=([0-9]+).*/\1/' <<<"$summary")" ms -
figure target "time until all 20 instances have a change, p99" "$(sed -E 's/.*p99=([0-9]+).*/\1/' <<<"$summary")" ms "<=" 1000
figure target "store killed after acceptance: time until 19 instances have the change" \
  "$(awk '/store killed/ { killed = 1; next } killed { print $(NF-1); exit }' "$out/rollout.txt")" ms "<=" 8000
