#!/usr/bin/env bash
# Drains backend servers under load and stops entry instances with SIGTERM while tapes are in flight. Then drains a server
# with the store unavailable and the list of instances lagging.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# drain SERVER... drains backend servers one after the other and records the start time of each command in $out/drains.txt.
# The command in AFTER, if set, runs right after each drain is accepted.
drain() {
  local server before
  for server in "$@"; do
    before=$(now)
    make_change drain backend "$server" >/dev/null
    ${AFTER:-true}
    echo "$server $before" >>"$out/drains.txt"
    sleep 0.3
  done
}

# worst_drain_delay prints the longest time in ms from a drain command until the last new request at its server, over the
# servers in $out/drains.txt.
worst_drain_delay() {
  local server before
  ledger >"$out/drained.json"
  while read -r server before; do
    jq --arg s "$server" --argjson t "$before" '.backends[] | select(.server == $s) | [.last_start_ms - $t, 0] | max' "$out/drained.json"
  done <"$out/drains.txt" | sort -n | tail -n 1
}

# until_idle SERVER waits until a backend server has no request in flight, for at most 300 polls, and prints the seconds.
until_idle() {
  local begin running i
  begin=$(now)
  for ((i = 0; i < 300; i++)); do
    running=$(ledger | jq --arg s "$1" '.backends[] | select(.server == $s).running')
    if ((running == 0)); then break; fi
    sleep 0.1
  done
  echo "$((($(now) - begin) / 100))e-1"
}

deploy
load_start load-tapes 40s
sleep 6
drain search-01 search-02 search-03 submissions-01 submissions-02
sleep 4
figure target "time until a drained server gets no new request, worst of 5" "$(worst_drain_delay)" ms "<=" 2000

# The server with the most tapes in flight.
busiest=$(ledger | jq -r '[.backends[] | select(.server | startswith("tapes"))] | max_by(.running).server')
figure info "tapes in flight at $busiest" "$(ledger | jq --arg s "$busiest" '.backends[] | select(.server == $s).running')" "" -
make_change drain backend "$busiest" >/dev/null
figure target "drain time of a server with tapes in flight" "$(until_idle "$busiest")" s "<=" 5 16

stop_began=$(now)
stopping="entry-01 entry-02 entry-06 entry-11"
# shellcheck disable=SC2086
signal TERM $stopping
for name in $stopping; do
  wait "${INSTANCE_PID[$name]}" && echo "$(now) $name ended" >>"$out/events.txt" || echo "$(now) $name ended with code $?" >>"$out/events.txt"
  set_instance_status "$name" removed
done
figure info "planned stop of 4 entry instances until the last one ended" "$((($(now) - stop_began) / 100))e-1" s -
figure target "entry instances that ended with an error" "$(grep -c 'ended with code' "$out/events.txt" || true)" "" "<=" 0
load_wait "planned stop: "
figure target "planned stop: bodies cut" "$(report .cut)" "" "<=" 0
figure target "planned stop: failed reads" "$(report .failed)" "" "<=" 0
figure target "planned stop: submissions answered unknown" "$(report .services.submissions.unknown)" "" "<=" 0
figure info "planned stop: tapes of 16 s" "$(report .services.tapes.requests)" "" -

load_start load-tapes 16s $((SEED + 1))
sleep 3
rm "$out/drains.txt"
fault '{"kind":"list_lag","delay_ms":8000}'
AFTER=start_store_outage
start_store_outage() { fault '{"kind":"store_outage","mode":"refuse","for_ms":6000}'; }
drain search-04
sleep 7
figure target "with the store away and the list lagging: time until a drained server gets no new request" "$(worst_drain_delay)" ms "<=" 2000
load_wait "store away: "
