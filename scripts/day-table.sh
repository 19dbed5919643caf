#!/usr/bin/env bash
# Runs the standard days (test scenarios) of a site on the users' bench. Prints a table of each day's worth, the parts of
# the worth, the prices deducted from it, and the numbers of refused and failed requests.
# Usage: scripts/day-table.sh BENCH SITE
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2
echo "| day | worth | whole day | worst windows | worst kind | worst zone | refused | failed | machines | processor | memory | bytes | connections | calls | others |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for day in quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3; do
  "$bench" run "$site" "$day" 2>&1 | awk -v day="$day" '
    function part(name) { return match($0, name " [0-9.]+") ? substr($0, RSTART + length(name) + 1, RLENGTH - length(name) - 1) : "-" }
    $1 == day { refused = $6; failed = $7 }
    /^worth [0-9.]+ = / { worth = $2; whole = part("whole day"); windows = part("worst windows"); kind = part("worst class"); zone = part("worst zone") }
    /^  -[0-9.]+ / {
      price = substr($1, 2); what = $0
      if (what ~ /machine-seconds/) machines += price
      else if (what ~ /processor seconds/) processor += price
      else if (what ~ /memory, GB/) memory += price
      else if (what ~ /GB between/) bytes += price
      else if (what ~ /new connections/) connections += price
      else if (what ~ /cloud calls/) calls += price
      else others += price
    }
    END { printf "| %s | %s | %s | %s | %s | %s | %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n", day, worth, whole, windows, kind, zone, refused, failed, machines, processor, memory, bytes, connections, calls, others }'
done
