#!/usr/bin/env bash
# Makes 30% of the open connections to backend servers unresponsive and shows failed and slow requests before and after.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# rate FROM_MS TO_MS COLUMN prints the mean per second of a timeline column between two times relative to the fault.
rate() {
  awk -F, -v from="$((fault_at + $1))" -v to="$((fault_at + $2))" -v column="$3" '
    NR == 1 { for (i = 1; i <= NF; i++) name[$i] = i; next }
    $1 >= from && $1 < to { n += $name[column] }
    END { printf "%.1f", n * 1000 / (to - from) }' "$out/timeline.csv"
}

deploy
load_start load-mixed 16s
sleep 6
fault_at=$(now)
fault '{"kind":"silent","share":0.3}'
load_wait
for column in failed unknown slow; do
  before=$(rate -5000 0 $column)
  figure info "$column per second, up to 1 s after the fault" "$(rate 0 1000 $column)" 1/s - "" "$before"
  figure info "$column per second, from 1 to 3 s after the fault" "$(rate 1000 3000 $column)" 1/s - "" "$before"
  figure info "$column per second, from 3 to 9 s after the fault" "$(rate 3000 9000 $column)" 1/s - "" "$before"
done
# A request that was sent on an unresponsive connection fails or is slow after the first byte timeout of its service (2 s;
# 10 s for submissions). Requests that arrive later than 1 s after the fault must not be among them.
figure target "failed, unknown and slow from 4 to 9 s after the fault, without submissions" \
  "$(awk -F, -v from="$((fault_at + 4000))" -v to="$((fault_at + 9000))" '$2 != "submissions" && $1 >= from && $1 < to { n += $6 + $7 + $8 } END { print n + 0 }' "$out/timeline.csv")" "" "<=" 0
