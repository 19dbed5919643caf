# Functions of the experiments. Each experiment sources it from the project's root, after `set -euo pipefail`; it runs one
# deployment on its own loopback network. FIGURES names the file that collects the figures as JSON lines.

source scripts/lib.sh

EXPERIMENT=$(basename "$0" .sh)
DEPLOYMENT=${DEPLOYMENT:-archive}
SEED=${SEED:-1}
FIGURES=${FIGURES:-/dev/null}
readonly FOLDER=$PWD/out/bench-$$-$EXPERIMENT
out=$FOLDER
network=""
declare -A INSTANCE_PID=() # process id by instance name
BROKEN=0                   # 1 after a figure that shows a broken invariant
LOAD_PID=""
RUNS=0 # loads that have ended

finish() {
  local code=$?
  trap - EXIT INT TERM
  stop_all
  [[ -z $network ]] || release_network "$network"
  if ((code == 0 && BROKEN == 0)) && [[ -z ${KEEP:-} ]]; then
    rm -rf "$FOLDER"
  else
    echo "logs kept in ${FOLDER#"$PWD"/}" >&2
  fi
  if ((code == 0)); then code=$BROKEN; fi
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# figure KIND NAME VALUE UNIT OPERATOR BOUND [BASELINE] prints a figure as a JSON line and appends it to $FIGURES. KIND is
# invariant, target or info. OPERATOR is <=, >= or - (no bound). An invariant that misses its bound sets BROKEN.
figure() {
  jq -cn --arg e "$EXPERIMENT" --arg kind "$1" --arg name "$2" --argjson value "${3:-null}" --arg unit "$4" \
    --arg op "$5" --argjson bound "${6:-null}" --argjson baseline "${7:-null}" --argjson load "$(cut -d' ' -f1 /proc/loadavg)" '
    {experiment: $e, name: $name, value: $value, unit: $unit, op: $op, bound: $bound, baseline: $baseline, kind: $kind,
     ok: (if $op == "-" then true elif $value == null then false elif $op == "<=" then $value <= $bound else $value >= $bound end),
     load_average: $load}' | tee -a "$FIGURES" "$out/figures.jsonl"
  if [[ $1 == invariant && $(tail -n 1 "$out/figures.jsonl" | jq .ok) != true ]]; then
    BROKEN=1
  fi
}

# deploy starts the deployment. An experiment may define `adjust`, which changes the rendered settings before the start.
deploy() {
  local name i=1
  mkdir -p "$out"
  network=$(pick_network)
  start_deployment "$DEPLOYMENT" "$out" "$network"
  while read -r name _; do
    INSTANCE_PID[$name]=${PIDS[i]}
    i=$((i + 1))
  done <"$out/instances.txt"
  export AZB_KEYS=$out/keys
}

# load_start SETTINGS DURATION [SEED] starts azb-load and returns when all entry instances are ready. The load writes
# $out/report.txt and $out/timeline.csv; load_wait extracts $out/report.json.
load_start() {
  local i
  rm -f "$out/load.code" "$out/load.log"
  start "$out/load.log" bash -c 'code=0; "$@" >"'"$out"'/report.txt" || code=$?; echo "$code" >"'"$out"'/load.code"' load \
    bin/azb-load --config "$out/$1.ini" --duration "$2" --seed "${3:-$SEED}" --timeline "$out/timeline.csv"
  LOAD_PID=$!
  for i in $(seq 400); do
    if grep -qs 'entry instances are ready' "$out/load.log"; then return 0; fi
    if [[ -e $out/load.code ]]; then break; fi
    sleep 0.1
  done
  echo "the load did not start:" >&2
  tail -n 3 "$out/load.log" >&2
  return 1
}

# load_wait [PREFIX] waits for the end of the load and prints the promises that it checked as figures whose names start with
# PREFIX.
load_wait() {
  local prefix=${1:-} name
  wait "$LOAD_PID" || true
  if [[ ! -s $out/load.code || $(<"$out/load.code") -gt 1 ]]; then
    echo "azb-load failed:" >&2
    tail -n 3 "$out/load.log" >&2
    return 1
  fi
  tail -n 1 "$out/report.txt" >"$out/report.json"
  RUNS=$((RUNS + 1))
  cp "$out/report.txt" "$out/report-$RUNS.txt"
  cp "$out/timeline.csv" "$out/timeline-$RUNS.csv"
  for name in duplicate_runs false_not_run lost_accepted wrong_body truncated_as_whole cap_overshoots; do
    figure invariant "$prefix$name" "$(report ".$name")" "" "<=" 0
  done
  if (($(report .cap_overshoots) > 0)); then
    ledger | jq -c '(.servers + .regions + .shifts + .links)[] | select(.overshoots > 0)' >&2
  fi
}

# report FILTER prints a value of the last report.
report() { jq "$1" "$out/report.json"; }

# control METHOD PATH [BODY] calls the control address of the stand-ins.
control() {
  curl -sS --fail-with-body --max-time 10 -X "$1" ${3:+-d "$3"} "http://127.$network.0.1:7001$2"
}

# fault JSON activates a fault in the stand-ins.
fault() {
  echo "$(now) fault $1" >>"$out/events.txt"
  control POST /v1/faults "$1" >>"$out/events.txt"
}

# ledger prints the stand-ins' ledger (counts and peaks of what ran) without the list of single runs.
ledger() { control GET /v1/ledger | jq -c 'del(.runs)'; }

# now prints the Unix time in milliseconds.
now() { date +%s%3N; }

# signal SIGNAL INSTANCE... sends a signal to entry instances.
signal() {
  local sig=$1 name
  shift
  for name in "$@"; do
    echo "$(now) $sig $name" >>"$out/events.txt"
    if is_running "${INSTANCE_PID[$name]}"; then kill "-$sig" "${INSTANCE_PID[$name]}"; fi
  done 2>/dev/null # discards the shell's messages about killed jobs
  if [[ $sig == KILL ]]; then
    for name in "$@"; do wait "${INSTANCE_PID[$name]}" 2>/dev/null || true; done
  fi
}

# instance_args FIRST LAST prints the azb-ctl arguments for the entry instances with these numbers.
instance_args() {
  local i
  for ((i = $1; i <= $2; i++)); do echo --instance "127.$network.1.$i:8443"; done
}

# make_change COMMAND... runs an azb-ctl command at one of the first three instances and prints the new revision.
make_change() {
  # shellcheck disable=SC2046
  bin/azb-ctl "$@" $(instance_args 1 3) | tee -a "$out/events.txt" | awk '{ print $2 }'
}

# home REGION prints the name of the region's home, the instance that allocates its slots.
home() {
  # shellcheck disable=SC2046
  bin/azb-ctl dump $(instance_args 1 3) | jq -r --arg r "$1" '.homes[] | select(.Region == $r) | .Home'
}

# set_instance_status INSTANCE STATUS sets an instance's status in the platform's list: live, leaving or removed.
set_instance_status() { control POST /v1/instances '{"name":"'"$1"'","status":"'"$2"'"}'; }

# sum_stats FILTER FIRST LAST prints the sum of a counter over the dumps of entry instances. Instances that do not answer
# count 0.
sum_stats() {
  local i
  for ((i = $2; i <= $3; i++)); do
    # shellcheck disable=SC2046
    bin/azb-ctl dump $(instance_args "$i" "$i") 2>/dev/null | jq ".stats | $1" || true
  done | jq -s add
}
