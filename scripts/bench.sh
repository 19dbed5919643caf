#!/usr/bin/env bash
# Runs the fault experiments one at a time and prints all figures as one table and as one JSON line each.
# Arguments select experiments by number; without arguments all run. SEED is the seed of the load.
# Exit code 1: an invariant was broken or an experiment failed. A missed target is only marked.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v jq >/dev/null || { echo "jq is missing; install Debian's package jq" >&2; exit 2; }
mkdir -p out
figures=$PWD/out/bench-$$.jsonl
: >"$figures"
export FIGURES=$figures
failed=0

if (($# == 0)); then
  set -- $(find scripts/experiments -name '[0-9]*.sh' -printf '%f\n' | sed 's/-.*//' | sort -n)
fi
for number in "$@"; do
  script=$(find scripts/experiments -name "$number-*.sh")
  if [[ -z $script ]]; then
    echo "no experiment $number in scripts/experiments/" >&2
    exit 2
  fi
  echo "== $(basename "$script" .sh)"
  code=0
  "$script" >/dev/null || code=$?
  if ((code != 0)); then
    echo "$(basename "$script" .sh) ended with code $code" >&2
    failed=1
  fi
done
# azb-bench compares the admission policies in virtual time and prints its own figures.
if [[ -x bin/azb-bench ]]; then
  bin/azb-bench || failed=1
fi

echo "| experiment | figure | value | bound | baseline | ok |"
echo "| --- | --- | ---: | ---: | ---: | --- |"
jq -r 'def n: if . == null then "-" else tostring end;
  "| \(.experiment) | \(.name) | \(.value | n) \(.unit) | \(if .op == "-" then "-" else "\(.op) \(.bound)" end) | \(.baseline | n) | " +
  "\(if .ok then (if .op == "-" then "" else "yes" end) elif .kind == "invariant" then "BROKEN" else "no" end) |"' "$figures"
cat "$figures"
echo "figures are in ${figures#"$PWD"/}; $(date -u +%F), commit $(git rev-parse --short HEAD 2>/dev/null || echo unknown), load average $(cut -d' ' -f1-3 /proc/loadavg)" >&2
exit "$failed"
