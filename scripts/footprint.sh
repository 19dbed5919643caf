#!/usr/bin/env bash
# Measures the memory and processor time of idle entry instances. Usage: scripts/footprint.sh [INSTANCES [SECONDS]]
# Starts the archive deployment with INSTANCES instances on loopback, waits until it has settled, and measures for SECONDS.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

instances=${1:-20}
seconds=${2:-15}
settle=10 # seconds between the apply and the first sample
bin=${BIN:-bin}

# write_example OUT N writes an example folder with N instances over the failure domains of archive.
write_example() {
  local out=$1 n=$2 i region domain
  local regions=(mazowsze malopolska pomorze) letters=(a b)
  mkdir -p "$out"
  cp examples/archive/* "$out"
  sed -i "s/^fleet = archive/fleet = $(basename "$out")/" "$out/entry.ini.in"
  sed '/^\[instance /,$d' examples/archive/standin.ini >"$out/standin.ini"
  for ((i = 1; i <= n; i++)); do
    region=${regions[(i - 1) % 3]}
    domain=$region-${letters[(i - 1) / 3 % 2]}
    printf '[instance entry-%03d]\nregion = %s\ndomain = %s\ncallers = 127.10.1.%d:8080\nfleet = 127.10.1.%d:9000\n\n' \
      "$i" "$region" "$domain" "$i" "$i"
  done >>"$out/standin.ini"
}

# sample prints a line for each entry instance: process id, processor time in ms, resident and anonymous memory in kB. The
# first process in PIDS is azb-standin.
sample() {
  local pid stat
  for pid in "${PIDS[@]:1}"; do
    read -r -a stat < <(sed 's/.*) //' "/proc/$pid/stat")
    awk -v pid="$pid" -v ms="$(((stat[11] + stat[12]) * 1000 / $(getconf CLK_TCK)))" '
      /^VmRSS/ { rss = $2 } /^RssAnon/ { anon = $2 } END { print pid, ms, rss, anon }' "/proc/$pid/status"
  done
}

network=$(pick_network)
out=$(mktemp -d)
trap 'stop_all; release_network "$network"; rm -rf "$out" "examples/footprint-$$"' EXIT
write_example "examples/footprint-$$" "$instances"
start_deployment "footprint-$$" "$out" "$network"
sleep "$settle"
sample >"$out/before"
sleep "$seconds"
sample >"$out/after"
paste -d' ' "$out/before" "$out/after" | awk -v s="$seconds" '{ printf "%.2f %.1f %.1f\n", ($6 - $2) / s / 10, $7 / 1024, $8 / 1024 }' \
  >"$out/table"
for column in "1 cpu_percent" "2 resident_MB" "3 anonymous_MB"; do
  read -r k name <<<"$column"
  cut -d' ' -f"$k" "$out/table" | sort -n | awk -v name="$name" -v n="$instances" '
    { v[NR] = $1 } END { printf "instances=%d %s min=%s median=%s max=%s\n", n, name, v[1], v[int((NR + 1) / 2)], v[NR] }'
done
