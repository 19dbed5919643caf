#!/usr/bin/env bash
# Compares running requests and transferred bytes with their limits under three loads: an overload of every service with
# narrow links, a drained region whose traffic moves under an operator's caps, and tape downloads over the narrow links.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/experiments/lib.sh

limit=${REGION_LIMIT:-50}

# The limit of a region is below the search and submission slots of mazowsze and malopolska (62 each), so that the overload
# reaches the limit there before the slots are full.
adjust() {
  sed -i 's/^rate = 4Gbit\/s/rate = 100Mbit\/s/; s/^rate = 40Mbit\/s/rate = 10Mbit\/s/; s/^max_running = 76/max_running = '"$limit"/ \
    "$out/deployment.ini"
}

# mean_running KIND NAME prints the mean number of running requests of a region (KIND regions) or of a shift (KIND shifts)
# between the ledgers $out/before.json and $out/after.json.
mean_running() {
  jq -n --slurpfile b "$out/before.json" --slurpfile a "$out/after.json" --arg n "$2" --argjson ms "$window_ms" \
    "def busy(l): l[0].$1[] | select(.name == \$n).busy_ms; (busy(\$a) - busy(\$b)) / \$ms * 100 | round / 100"
}

# sample_window SECONDS saves the ledger at the start and at the end of SECONDS, in $out/before.json and $out/after.json, and
# sets window_ms to the measured length.
sample_window() {
  local begin
  begin=$(now)
  ledger >"$out/before.json"
  sleep "$1"
  ledger >"$out/after.json"
  window_ms=$(($(now) - begin))
}

deploy
for service in search submissions; do fault '{"kind":"slow","service":"'$service'","factor":4}'; done
load_start load-overload 14s
sleep 5
sample_window 8
load_wait "overload: "
for region in mazowsze malopolska pomorze; do
  figure info "overload: peak running of $limit in $region" \
    "$(jq --arg n $region '.regions[] | select(.name == $n).peak' "$out/after.json")" "" -
done
for region in mazowsze malopolska; do
  figure target "overload: use of the limit of $region" "$(jq -n "$(mean_running regions $region) / $limit * 1000 | round / 10")" % ">=" 90
done
figure info "overload: requests that ended unknown or failed" "$(report '.unknown + .failed')" "" -
figure info "overload: grants whose lease ended at a live instance" "$(sum_stats .Holder.Fenced 1 20)" "" -
figure info "overload: requests that backend servers refused" "$(report '.shed / (.ok + .shed) * 10000 | round / 100')" % -

control DELETE /v1/faults >/dev/null
sleep 2
load_start load-shift 22s
sleep 2
make_change cap night --from pomorze --to mazowsze --max 8 >/dev/null
make_change cap day --from pomorze --to malopolska --max 5 >/dev/null
sleep 1
control POST /v1/shift '{"from":"pomorze","to":"mazowsze","max_running":8}'
control POST /v1/shift '{"from":"pomorze","to":"malopolska","max_running":5}'
make_change drain region pomorze >/dev/null
sleep 4
sample_window 5
ledger >"$out/shift.json"
for shift in "mazowsze 8" "malopolska 5"; do
  read -r to cap <<<"$shift"
  figure info "drained region: peak of the shift to $to under a cap of $cap" \
    "$(jq --arg n "pomorze>$to" '.shifts[] | select(.name == $n).peak' "$out/shift.json")" "" -
  figure target "drained region: use of the cap on the shift to $to" \
    "$(jq -n "$(mean_running shifts "pomorze>$to") / $cap * 1000 | round / 10")" % ">=" 90
done
make_change cap night --from pomorze --to mazowsze --max 4 >/dev/null
sleep 1.5
control POST /v1/shift '{"from":"pomorze","to":"mazowsze","max_running":4}'
sample_window 4
figure target "drained region: use of the cap on the shift to mazowsze after it was lowered to 4" \
  "$(jq -n "$(mean_running shifts "pomorze>mazowsze") / 4 * 1000 | round / 10")" % ">=" 90
load_wait "drained region: "
figure info "drained region: searches refused as not run" "$(report '.refused_not_run / .requests * 1000 | round / 10')" % -

make_change cap night --remove >/dev/null
make_change cap day --remove >/dev/null
for to in mazowsze malopolska; do control POST /v1/shift '{"from":"pomorze","to":"'$to'","max_running":0}'; done
load_start load-links 12s
sleep 4
sample_window 6
for to in mazowsze malopolska; do
  figure info "narrow links: peak window of the link from $to, of its rate" \
    "$(jq --arg n "$to" '.links[] | select(.from == $n and .to == "pomorze") | .peak_window_bytes / (.rate / 10) * 1000 | round / 10' "$out/after.json")" % -
  figure target "narrow links: use of the link from $to" "$(jq -n --slurpfile b "$out/before.json" --slurpfile a "$out/after.json" \
    --argjson ms "$window_ms" --arg n "$to" 'def bytes(l): l[0].links[] | select(.from == $n and .to == "pomorze") | .bytes;
      (bytes($a) - bytes($b)) / ($a[0].links[0].rate * $ms / 1000) * 1000 | round / 10')" % ">=" 90
done
load_wait "narrow links: "
