#!/usr/bin/env bash
# Runs the curl examples of docs/callers.md against the archive example. Fails if a request fails or gets a status of 400
# or above.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

network=$(pick_network)
out=$PWD/out/docs-$$
finish() {
  local code=$?
  trap - EXIT
  stop_all
  release_network "$network"
  if ((code == 0)); then
    rm -rf "$out"
  fi
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

mkdir -p "$out"
start_deployment archive "$out" "$network"

# Requests are rejected until their region has a home, the instance that allocates its slots.
ready=0
for _ in $(seq 100); do
  if curl -sf -o /dev/null -m 5 -H 'Azb-Customer: wolontariusze' "http://127.$network.1.1:8080/search/ready"; then
    ready=1
    break
  fi
  sleep 0.2
done
((ready)) || { echo "the archive example did not become ready, logs in $out" >&2; exit 1; }

count=0
while IFS= read -r command; do
  command=${command//127.10./127.$network.}
  count=$((count + 1))
  if ! (set -f; eval "${command/curl /curl --fail-with-body -sS -m 20 -o \"\$out\"/answer }"); then
    echo "example failed: $command" >&2
    cat "$out/answer" >&2
    exit 1
  fi
done < <(awk '
  /^    curl / { line = "" ; more = 1 }
  more { sub(/^ +/, ""); line = line $0 " "; more = sub(/\\ $/, "", line); if (!more) print line }
' docs/callers.md)
echo "$count examples of docs/callers.md succeeded"
((count > 0))
