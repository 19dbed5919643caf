#!/usr/bin/env bash
# Runs the example deployments under the example load and prints their reports; the last lines are one JSON object for
# each deployment. Exits 0 only if azb-load succeeded and found no broken promise in any deployment.
# DEPLOYMENT selects archive or fitil (default: both); DURATION is the length of the load.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

deployments=${DEPLOYMENT:-archive fitil}
duration=${DURATION:-20s}
out=$PWD/out/run-$$
networks=()
failed=0

finish() {
  local code=$? n
  trap - EXIT INT TERM
  stop_all
  for n in "${networks[@]}"; do
    release_network "$n"
  done
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

for deployment in $deployments; do
  if [[ ! -d examples/$deployment ]]; then
    echo "no deployment $deployment in examples/" >&2
    exit 2
  fi
done

mkdir -p "$out"
for deployment in $deployments; do
  network=$(pick_network)
  networks+=("$network")
  start_deployment "$deployment" "$out/$deployment" "$network"
  echo "== $deployment: $duration of load, logs in out/run-$$/$deployment"
  code=0
  # In the background, because bash handles a signal at once during wait but not during a foreground command.
  bin/azb-load --config "$out/$deployment/load.ini" --duration "$duration" >"$out/$deployment/report.txt" 2>"$out/$deployment/load.log" &
  PIDS+=($!)
  wait $! || code=$?
  cat "$out/$deployment/report.txt"
  if ((code != 0)); then
    failed=1
    echo "$deployment failed: azb-load ended with code $code" >&2
    tail -n 5 "$out/$deployment/load.log" >&2
  fi
  stop_all
done

echo "== results"
for deployment in $deployments; do
  tail -n 1 "$out/$deployment/report.txt"
done
if ((failed == 0)); then
  rm -rf "$out"
fi
exit "$failed"
