#!/usr/bin/env bash
# Runs the property tests with CHECKS cases each. SEED is their seed; by default it is taken from the clock.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${SEED:-$(date +%s)}
checks=${CHECKS:-20000}
echo "seed $seed, $checks cases for each property"
grep -rlE 'rapid\.Check' --include='*_test.go' . | xargs -n 1 dirname | sort -u | while read -r package; do
  AZB_PROPERTY_SEED=$seed AZB_PROPERTY_CHECKS=$checks go test -count=1 -timeout 30m "$package"
done
