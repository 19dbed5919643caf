#!/usr/bin/env bash
# Measures the time until an accepted change is in force at all 20 entry instances of the archive example. Then kills the
# store right after it accepted a change and restarts an instance during the outage.
# Usage: scripts/rollout.sh [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
changes=${1:-30}
network=$(pick_network)
out=$(mktemp -d)
pids=()
cleanup() {
  local pid running; running=$(jobs -pr)
  for pid in "${pids[@]}"; do if grep -qx "$pid" <<<"$running"; then kill -9 "$pid" 2>/dev/null || true; fi; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  release_network "$network"
  [ -n "${KEEP:-}" ] && echo "logs kept in $out" || rm -rf "$out"
}
trap cleanup EXIT

render_deployment archive "$out" "$network"
(cd "$out" && exec "$OLDPWD/bin/azb-standin" --config standin.ini >standin.log 2>&1) &
store=$!
pids+=("$store")
export AZB_KEYS=$out/keys
all=()
restarted=""
while read -r name _ _ ip; do
  all+=(--instance "$ip:8443")
  restarted=$name restarted_ip=$ip
done <"$out/instances.txt"
for _ in $(seq 50); do
  bin/azb-ctl apply --store "127.$network.0.1:7000" --folder "$out" 2>/dev/null && break
  sleep 0.1
done
restarted_pid=""
while read -r name _ _ _; do
  bin/azb-entry --config "$out/$name.ini" 2>"$out/$name.log" &
  pids+=($!)
  if [ "$name" = "$restarted" ]; then restarted_pid=$!; fi
done <"$out/instances.txt"
bin/azb-ctl wait 1 --for 20s "${all[@]}"

# change drain|undrain drains search-01 or ends its drain, through the first instance, and prints the new revision.
change() { bin/azb-ctl "$1" "${all[@]:0:2}" backend search-01 | awk '{ print $2 }'; }

for i in $(seq "$changes"); do
  if [ $((i % 2)) = 1 ]; then kind=drain; else kind=undrain; fi
  revision=$(change $kind)
  bin/azb-ctl wait "$revision" "${all[@]}" | tee -a "$out/times.txt" | tail -1
done
awk '{ print $(NF-1) }' "$out/times.txt" | sort -n | awk '
  { v[NR] = $1 }
  END { p = int((NR * 99 + 99) / 100); printf "changes=%d p50=%d ms p99=%d ms max=%d ms\n", NR, v[int((NR + 1) / 2)], v[p], v[NR] }'

kill -9 "$restarted_pid"
wait "$restarted_pid" 2>/dev/null || true
if [ $((changes % 2)) = 1 ]; then kind=undrain; else kind=drain; fi
revision=$(change $kind)
kill -9 "$store"
wait "$store" 2>/dev/null || true
echo "store killed right after revision $revision was accepted"
bin/azb-ctl wait "$revision" "${all[@]:0:$((${#all[@]} - 2))}"
bin/azb-entry --config "$out/$restarted.ini" 2>"$out/$restarted-2.log" &
pids+=($!)
echo "instance $restarted started during the outage"
bin/azb-ctl wait "$revision" --for 20s --instance "$restarted_ip:8443" || echo "instance $restarted has no configuration"
