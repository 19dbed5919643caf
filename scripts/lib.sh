# Functions shared by the scripts. Source it after `set -euo pipefail` from the project's root.

# pick_network prints a number N such that no other run uses the loopback addresses 127.N.0.0/16.
# The folder that marks a run's network goes away with the run.
pick_network() {
  local n
  for n in $(shuf -i 30-250); do
    if mkdir "${TMPDIR:-/tmp}/azb-network-$n" 2>/dev/null; then
      echo "$n"
      return 0
    fi
  done
  echo "no free loopback network; remove stale ${TMPDIR:-/tmp}/azb-network-* folders" >&2
  return 1
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
