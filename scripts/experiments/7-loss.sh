#!/usr/bin/env bash
# Loses a quarter of the entry instances, a failure domain, a region, and two of these while the store is away. Measures
# the time until goodput is back at 95% of the goodput before, or of what the remaining slots can carry if that is less.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# members FIELD VALUE prints the entry instances of a region (field 2) or failure domain (field 3).
members() { awk -v f="$1" -v v="$2" '$f == v { print $1 }' "$out/instances.txt"; }

# recovered SERVICE CAPACITY prints the milliseconds from $at until the goodput of a service stays at 95% for 1 s; the
# target is the smaller of the goodput before and CAPACITY per second. A goodput that never returns gives null.
recovered() {
  awk -F, -v at="$at" -v service="$1" -v capacity="$2" '
    $2 == service { ok[int(($1 - at + 100000) / 100)] += $4; if ($1 > last) last = $1 }
    END {
      for (i = 1000 - 50; i < 1000; i++) before += ok[i]
      want = before / 5; if (capacity < want) want = capacity
      for (i = 1000; i + 10 <= (last - at) / 100 + 1000 - 10; i++) {
        sum = 0
        for (k = i; k < i + 10; k++) sum += ok[k]
        if (sum >= 0.95 * want) { print (i - 1000) * 100; exit }
      }
      print "null"
    }' "$out/timeline.csv"
}

# trial NAME SEARCH_CAPACITY SUBMISSION_CAPACITY runs the load with the function `lose` in the middle.
trial() {
  local name=$1
  echo "== $name" >&2
  out=$PWD/out/bench-$$-$EXPERIMENT/${name// /-}
  deploy
  load_start load-mixed 17s
  sleep 6
  at=$(now)
  lose
  load_wait "$name: "
  figure target "$name: time until the goodput of search is back" "$(recovered search "$2")" ms "<=" 2000
  figure target "$name: time until the goodput of submissions is back" "$(recovered submissions "$3")" ms "<=" 2000
  figure info "$name: reads that failed" "$(report .failed)" "" -
  figure info "$name: submissions answered unknown" "$(report .services.submissions.unknown)" "" -
  figure info "$name: refused as not run" "$(report .refused_not_run)" "" -
  stop_all
  release_network "$network"
  network="" INSTANCE_PID=()
}

# Capacities per second: 6 slots of 120 ms and 5 slots of 400 ms for each backend server that is left, at 85% use.
lose() { signal KILL entry-01 entry-05 entry-09 entry-14 entry-19; }
trial "5 of 20 entry instances" 850 127
# shellcheck disable=SC2046
lose() {
  fault '{"kind":"crash","domain":"mazowsze-a"}'
  signal KILL $(members 3 mazowsze-a)
}
trial "failure domain mazowsze-a" 680 106
# shellcheck disable=SC2046
lose() {
  fault '{"kind":"crash","region":"malopolska"}'
  signal KILL $(members 2 malopolska)
}
trial "region malopolska" 552 85
# shellcheck disable=SC2046
lose() {
  fault '{"kind":"store_outage","mode":"refuse"}'
  fault '{"kind":"crash","domain":"pomorze-b"}'
  signal KILL $(members 3 pomorze-b) entry-01 entry-05
}
trial "failure domain pomorze-b and 2 instances with the store away" 722 106
