#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt, in lines `test: PACKAGE NAME`, are skipped and
# printed, so that the output shows what the result does not cover.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=
if [[ -f KNOWN-RED.txt ]]; then
  while read -r _ package name; do
    echo "known red, not run: $package $name"
    skip+="${skip:+|}^$name\$"
  done < <(grep -E '^test: [^ ]+ Test' KNOWN-RED.txt || true)
  grep -E '^bench: ' KNOWN-RED.txt | sed 's/^/known red, not part of CI: /' || true
fi
# The tests of callers outside the limits measure the memory of a process: they run alone, after all others.
alone='^Test(Many(Large|Bodies|Announced|Streamed|Unread|Connections|Uploads|Clients|Kinds|Submissions)|SingleLargeRequest)'
go test -race -count=1 -skip "${skip:+$skip|}$alone" ./...
go test -race -count=1 ${skip:+-skip "$skip"} -run "$alone" -p 1 ./cmd/azb-front ./cmd/azb-entry
