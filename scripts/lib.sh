# Functions shared by the scripts. Source it after `set -euo pipefail` from the project's root.

# pick_network reserves a loopback network 127.N.0.0/16 for this run and prints N. Each reserved network has a lock folder
# that holds the process id of its run. A lock whose process has ended is removed; the number is free for later calls.
pick_network() {
  local n lock
  for n in $(shuf -i 30-250); do
    lock="${TMPDIR:-/tmp}/azb-network-$n"
    if mkdir "$lock" 2>/dev/null; then
      echo "$$" >"$lock/pid"
      echo "$n"
      return 0
    fi
    if [[ -s $lock/pid ]] && ! kill -0 "$(<"$lock/pid")" 2>/dev/null && mv "$lock" "$lock.stale-$$" 2>/dev/null; then
      rm -rf "$lock.stale-$$"
    fi
  done
  echo "no free loopback network; remove stale ${TMPDIR:-/tmp}/azb-network-* folders" >&2
  return 1
}

# release_network N removes the lock of a network.
release_network() {
  rm -rf "${TMPDIR:-/tmp}/azb-network-$1"
}

# render_deployment EXAMPLE OUT NETWORK writes the settings of all processes of one deployment below OUT.
render_deployment() {
  local example=$1 out=$2 network=$3 file
  mkdir -p "$out"
  for file in "examples/$example"/*.ini; do
    sed -E "s/127\.[0-9]+\./127.$network./g" "$file" >"$out/$(basename "$file")"
  done
  awk -v out="$out" '
    /^\[instance /    { name = $2; sub(/\]/, "", name) }
    /^\[/ && !/^\[instance / { name = "" }
    name && /^region/ { region = $3 }
    name && /^domain/ { domain = $3 }
    name && /^callers/ { split($3, a, ":"); print name, region, domain, a[1] }
  ' "$out/standin.ini" >"$out/instances.txt"
  while read -r name region domain ip; do
    sed -e "s/@NAME@/$name/; s/@REGION@/$region/; s/@DOMAIN@/$domain/; s/@IP@/$ip/; s#@KEYS@#$out/keys#" \
      -e "s/127\.[0-9]*\.0\.1/127.$network.0.1/" "examples/$example/entry.ini.in" >"$out/$name.ini"
  done <"$out/instances.txt"
  bin/azb-ctl keys --folder "$out/keys" --fleet "$example" $(cut -d' ' -f1 "$out/instances.txt")
  bin/azb-ctl keys --folder "$out/keys" --fleet "$example" --role operator operator
}

# PIDS holds the processes that this run started.
PIDS=()

# start LOG COMMAND... starts a process that writes to LOG.
start() {
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  PIDS+=($!)
}

# is_running PID reports whether a process that this shell started is still running. A busy machine reuses process ids
# within minutes, so a signal to the id of an ended process could reach a process of another run.
is_running() { jobs -pr | grep -qx "$1"; }

# stop_all kills the processes that this run started. The run is over, so a graceful stop would only take longer.
stop_all() {
  local pid running
  running=$(jobs -pr)
  { # discards the shell's messages about killed jobs
    for pid in "${PIDS[@]}"; do
      if grep -qx "$pid" <<<"$running"; then kill -KILL "$pid" 2>/dev/null || true; fi
    done
    for pid in "${PIDS[@]}"; do
      wait "$pid" 2>/dev/null || true
    done
  } 2>/dev/null
  PIDS=()
}

# start_deployment EXAMPLE OUT NETWORK starts the stand-ins and the entry instances, and applies the configuration. If the
# caller defines a function `adjust`, it is called before the start to change the rendered settings.
start_deployment() {
  local example=$1 out=$2 network=$3 name rest
  render_deployment "$example" "$out" "$network"
  if declare -F adjust >/dev/null; then adjust; fi
  # The settings name the deployment file without a folder, so the stand-ins run in the folder of the settings.
  start "$out/standin.log" env -C "$out" "$PWD/bin/azb-standin" --config standin.ini
  while read -r name rest; do
    # Entry instances run on small machines, so each gets two threads for Go code.
    start "$out/$name.log" env GOMAXPROCS=2 bin/azb-entry --config "$out/$name.ini"
  done <"$out/instances.txt"
  apply_configuration "$out" "$network"
}

# apply_configuration OUT NETWORK applies the deployment, plans and customers files. It retries for about 10 s while the store
# does not answer.
apply_configuration() {
  local out=$1 network=$2 i
  for i in $(seq 50); do
    if bin/azb-ctl apply --store "127.$network.0.1:7000" --deployment "$out/deployment.ini" --plans "$out/plans.ini" \
      --customers "$out/customers.ini" >"$out/apply.log" 2>&1; then
      return 0
    fi
    sleep 0.2
  done
  cat "$out/apply.log" >&2
  return 1
}
