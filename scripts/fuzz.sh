#!/usr/bin/env bash
# Runs each fuzz target of the project for the given time.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-10s}
grep -rlE '^func Fuzz' --include='*_test.go' . | while read -r file; do
  package=$(dirname "$file")
  sed -nE 's/^func (Fuzz[A-Za-z0-9_]+)\(.*/\1/p' "$file" | while read -r target; do
    echo "== $package $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" "$package"
  done
done
