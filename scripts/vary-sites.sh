#!/usr/bin/env bash
# Runs the users' bench's `hunt` command on variants of a site file: no load header, no warm-up gain, one instance for each
# failure domain, regions 90 ms apart, short queues, small machines, servers of different speeds. The variants are written to
# out/sites, which git ignores.
# Usage: scripts/vary-sites.sh BENCH SITE [DAYS]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 days=${3:-8}
name=$(basename "$site" .toml)
rm -rf out/sites
cp -r "$(dirname "$site")" out/sites
# vary NAME SED-EXPRESSION runs the bench on the site file changed by a sed expression.
vary() {
  sed -E "$2" "$site" >"out/sites/$name-$1.toml"
  if cmp -s "$site" "out/sites/$name-$1.toml"; then
    echo "$1: the expression changes nothing in $site" >&2
    exit 2
  fi
  [[ -f out/sites/$name.days ]] && cp "out/sites/$name.days" "out/sites/$name-$1.days"
  echo "== $name-$1"
  "$bench" hunt "out/sites/$name-$1.toml" --days "$days" >"out/sites/$name-$1.txt" 2>&1 || true # the report says what failed
  grep -E ' with a rule broken|^rule ' "out/sites/$name-$1.txt" || tail -3 "out/sites/$name-$1.txt"
}
vary no-load 's/load_header = true/load_header = false/g'
vary no-warmth 's/warm_gain = [0-9.]+/warm_gain = 0.0/g'
vary one-a-domain '/class = "front"/s/count = [0-9]+/count = 1/'
vary far-regions 's/^cross_region_ms = [0-9.]+/cross_region_ms = 90.0/'
vary short-queues 's/queue = [0-9]+/queue = 2/g; s/slots = 3,/slots = 6,/g'
vary small-machines 's/cpu_share = [0-9.]+/cpu_share = 0.12/; s/memory_mb = [0-9]+/memory_mb = 96/'
vary speeds 's/speeds = \[\]/speeds = [0.5, 1.0, 1.5, 2.0]/g'
