#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides azb-front, into target/review-2/. The sources have another ending,
# so that linters and tests of the module leave them out; they are built in a temporary folder of the module.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d ./review/build-2.XXXXXX)
trap 'rm -rf "$dir"' EXIT
for f in review/src-2/*.go.txt; do
  cp "$f" "$dir/$(basename "$f" .txt)"
done
mkdir -p target/review-2
go build -o target/review-2/rig "$dir"
