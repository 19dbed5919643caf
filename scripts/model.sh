#!/usr/bin/env bash
# Checks the Promela specifications in model/ with spin. Each specification must hold, and each broken variant must violate
# a property, which shows that the check can fail. Prints the number of states of each run.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v spin >/dev/null || { echo "spin is missing; install Debian's package spin" >&2; exit 1; }
readonly LIMIT_SECONDS=600 # timeout of one run, far above its normal time; a run that exceeds it counts as incomplete
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check WANT SPEC [VARIANT] checks model/SPEC.pml. WANT is the expected result, holds or fails; VARIANT is the macro of a
# broken variant.
check() {
  local want=$1 spec=$2 variant=${3:-} got states
  cp "model/$spec.pml" "$work/"
  (
    cd "$work"
    spin -a ${variant:+-D"$variant"} "$spec.pml" >/dev/null
    gcc -O2 -DSAFETY -DMEMLIM=4096 -w -o pan pan.c
    timeout "$LIMIT_SECONDS" ./pan -n -m1000000 -w24 >pan.out 2>&1 || true
  )
  got=incomplete
  if grep -q 'errors: 0' "$work/pan.out"; then got=holds; fi
  if grep -q 'errors: 1' "$work/pan.out"; then got=fails; fi
  if grep -qE 'search depth too small|out of memory|exceeded' "$work/pan.out"; then got=incomplete; fi
  states=$(awk '/states, stored/ { print $1; exit }' "$work/pan.out")
  printf '%-8s %-19s %-10s states %s\n' "$spec" "${variant:-as specified}" "$got" "${states:-none}"
  if [ "$got" != "$want" ]; then
    echo "expected: $want" >&2
    failed=1
  fi
}

check holds grants
check fails grants FREE_ON_LAPSE
check fails grants DEADLINE_FROM_GRANT
check holds home
check fails home NO_RESTART_WAIT
check fails home COUNT_FROM_RECEIPT
check fails home EARLY_PROMISE
check holds claims
check fails claims ASSUME_NOT_WRITTEN
check fails claims TRUST_INDEX
check holds rollout
check fails rollout TAKE_ANY
check fails rollout PUSH_EARLY
check holds relay
check fails relay IGNORE_GAP
check fails relay KEEP_TRUST
check fails relay NO_REPEAT
check holds leaving
check fails leaving FORGET_GAUGE
check fails leaving NO_CHECK
check fails leaving ANSWER_FIRST
check holds eras
check fails eras NUMBERS_ONLY
check fails eras WATCH_ACROSS
exit "$failed"
