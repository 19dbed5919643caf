#!/usr/bin/env bash
# Crashes backend servers and cuts bodies in the middle of downloads, and counts the downloads that came whole.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# whole SERVICE prints the share of the downloads that ended whole.
whole() { report ".services.$1 | .ok / .requests * 1000 | round / 10"; }

deploy
load_start load-downloads 6s
load_wait "without faults: "
tapes=$(whole tapes) clips=$(whole clips)

load_start load-downloads 16s $((SEED + 1))
sleep 2
fault '{"kind":"cut_body","service":"tapes","share":0.2,"for_ms":4000}'
sleep 4
for server in tapes-01 tapes-05 clips-03; do
  fault '{"kind":"crash","server":"'$server'","for_ms":4000}'
  sleep 1.5
done
load_wait
figure target "tapes that came whole" "$(whole tapes)" % ">=" 99 "$tapes"
figure target "clips that came whole" "$(whole clips)" % ">=" 99 "$clips"
# The load tool resumes by itself, so that a cut that the system passes on shows only here.
figure target "downloads that came whole without a cut towards the caller" \
  "$(report '(.services.tapes.requests + .services.clips.requests) as $n | ($n - .cut) / $n * 1000 | round / 10')" % ">=" 99
figure info "bodies cut towards callers" "$(report .cut)" "" -
figure info "resumed by callers" "$(report .resumed)" "" -
