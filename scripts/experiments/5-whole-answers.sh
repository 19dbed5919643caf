#!/usr/bin/env bash
# Crashes backend servers and aborts response bodies in the middle of downloads, and measures the share of downloads that
# complete.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

# complete_share SERVICE prints the percentage of the service's downloads that completed.
complete_share() { report ".services.$1 | .ok / .requests * 1000 | round / 10"; }

deploy
load_start load-downloads 6s
load_wait "without faults: "
tapes=$(complete_share tapes) clips=$(complete_share clips)

load_start load-downloads 16s $((SEED + 1))
sleep 2
fault '{"kind":"cut_body","service":"tapes","share":0.2,"for_ms":4000}'
sleep 4
for server in tapes-01 tapes-05 clips-03; do
  fault '{"kind":"crash","server":"'$server'","for_ms":4000}'
  sleep 1.5
done
load_wait
figure target "tapes that came whole" "$(complete_share tapes)" % ">=" 99 "$tapes"
figure target "clips that came whole" "$(complete_share clips)" % ">=" 99 "$clips"
# The load tool resumes aborted downloads, so an abort that the system passes on to the caller shows only here.
figure target "downloads that came whole without a cut towards the caller" \
  "$(report '(.services.tapes.requests + .services.clips.requests) as $n | ($n - .cut) / $n * 1000 | round / 10')" % ">=" 99
figure info "bodies cut towards callers" "$(report .cut)" "" -
figure info "resumed by callers" "$(report .resumed)" "" -
