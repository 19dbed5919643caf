#!/usr/bin/env bash
# Drains backend servers under load, with and without the store and the list of instances, and stops entry instances as
# planned while tapes are in flight.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# drain SERVER... drains backend servers one after the other and notes when each command began. The command AFTER runs
# right after each acceptance.
drain() {
  local server before
  for server in "$@"; do
    before=$(now)
    operate drain backend "$server" >/dev/null
    ${AFTER:-true}
    echo "$server $before" >>"$out/drains.txt"
    sleep 0.3
  done
}

# last_starts prints the worst time in ms from the command until the last new request at the servers of $out/drains.txt.
last_starts() {
  local server before
  ledger >"$out/drained.json"
  while read -r server before; do
    jq --arg s "$server" --argjson t "$before" '.backends[] | select(.server == $s) | [.last_start_ms - $t, 0] | max' "$out/drained.json"
  done <"$out/drains.txt" | sort -n | tail -n 1
}

# until_idle SERVER prints the seconds until a backend server has no request in flight.
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
figure target "time until a drained server gets no new request, worst of 5" "$(last_starts)" ms "<=" 2000

# The server with the most tapes in flight.
busiest=$(ledger | jq -r '[.backends[] | select(.server | startswith("tapes"))] | max_by(.running).server')
figure info "tapes in flight at $busiest" "$(ledger | jq --arg s "$busiest" '.backends[] | select(.server == $s).running')" "" -
operate drain backend "$busiest" >/dev/null
figure target "drain time of a server with tapes in flight" "$(until_idle "$busiest")" s "<=" 5 16

stopped=$(now)
stopping="entry-01 entry-02 entry-06 entry-11"
# shellcheck disable=SC2086
signal TERM $stopping
for name in $stopping; do
  wait "${INSTANCE_PID[$name]}" && echo "$(now) $name ended" >>"$out/events.txt" || echo "$(now) $name ended with code $?" >>"$out/events.txt"
  mark "$name" removed
done
figure info "planned stop of 4 entry instances until the last one ended" "$((($(now) - stopped) / 100))e-1" s -
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
AFTER=away
away() { fault '{"kind":"store_outage","mode":"refuse","for_ms":6000}'; }
drain search-04
sleep 7
figure target "with the store away and the list lagging: time until a drained server gets no new request" "$(last_starts)" ms "<=" 2000
load_wait "store away: "
