#!/usr/bin/env bash
# Kills a quarter of the entry instances, a failure domain, a region, and, with the store unavailable, a failure domain and
# two more entry instances. Measures the time until goodput is back at 95% of the goodput before the fault, or of the
# capacity of the remaining slots if that is less.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# members FIELD VALUE prints the entry instances of a region (field 2) or failure domain (field 3).
members() { awk -v f="$1" -v v="$2" '$f == v { print $1 }' "$out/instances.txt"; }

# recovery_ms SERVICE CAPACITY prints the milliseconds from $fault_at until the goodput of a service over 1 s reaches 95% of
# its target, or null if it never does. The target is the smaller of the goodput before the fault and CAPACITY per second.
recovery_ms() {
  awk -F, -v at="$fault_at" -v service="$1" -v capacity="$2" '
    $2 == service { ok[int(($1 - at + 100000) / 100)] += $4; if ($1 > last) last = $1 }
    END {
      for (i = 1000 - 50; i < 1000; i++) before += ok[i]
      target = before / 5; if (capacity < target) target = capacity
      for (i = 1000; i + 10 <= (last - at) / 100 + 1000 - 10; i++) {
        sum = 0
        for (k = i; k < i + 10; k++) sum += ok[k]
        if (sum >= 0.95 * target) { print (i - 1000) * 100; exit }
      }
      print "null"
    }' "$out/timeline.csv"
}

# trial NAME SEARCH_CAPACITY SUBMISSION_CAPACITY runs the load and calls the function `inject_loss` 6 s after its start.
trial() {
  local name=$1
  echo "== $name" >&2
  out=$PWD/out/bench-$$-$EXPERIMENT/${name// /-}
  deploy
  load_start load-mixed 17s
  sleep 6
  fault_at=$(now)
  inject_loss
  load_wait "$name: "
  figure target "$name: time until the goodput of search is back" "$(recovery_ms search "$2")" ms "<=" 2000
  figure target "$name: time until the goodput of submissions is back" "$(recovery_ms submissions "$3")" ms "<=" 2000
  figure info "$name: reads that failed" "$(report .failed)" "" -
  figure info "$name: submissions answered unknown" "$(report .services.submissions.unknown)" "" -
  figure info "$name: refused as not run" "$(report .refused_not_run)" "" -
  stop_all
  release_network "$network"
  network="" INSTANCE_PID=()
}

# Capacities per second at 85% use: each remaining backend server has 6 slots at 120 ms for each search, or 5 slots at 400 ms
# for each submission.
inject_loss() { signal KILL entry-01 entry-05 entry-09 entry-14 entry-19; }
trial "5 of 20 entry instances" 850 127
# shellcheck disable=SC2046
inject_loss() {
  fault '{"kind":"crash","domain":"mazowsze-a"}'
  signal KILL $(members 3 mazowsze-a)
}
trial "failure domain mazowsze-a" 680 106
# shellcheck disable=SC2046
inject_loss() {
  fault '{"kind":"crash","region":"malopolska"}'
  signal KILL $(members 2 malopolska)
}
trial "region malopolska" 552 85
# shellcheck disable=SC2046
inject_loss() {
  fault '{"kind":"store_outage","mode":"refuse"}'
  fault '{"kind":"crash","domain":"pomorze-b"}'
  signal KILL $(members 3 pomorze-b) entry-01 entry-05
}
trial "failure domain pomorze-b and 2 instances with the store away" 722 106
