#!/usr/bin/env bash
# Runs a measurement against a whole system on this machine and prints its
# tables. docs/measurements.md has the figures and their conditions.
#
#   scripts/measure.sh overhead|zone|overload|pickers|control [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
out=$PWD/.out/measure
mkdir -p "$out"
dir=$(mktemp -d)
trap 'scripts/cluster.sh down "$dir"; rm -rf "$dir"' EXIT

# targets prints the addresses as a TOML list.
targets() { printf '"%s",' "$@" | sed 's/,$//'; }

# usage prints processor seconds and resident memory in MB of the processes
# whose settings file matches.
usage() {
  for pid in $(pgrep -f -- "--settings $dir/$1"); do
    awk -v hz="$(getconf CLK_TCK)" -v page="$(getconf PAGESIZE)" \
      '{cpu=($14+$15)/hz; rss=$24*page/1048576} END {printf "%.2f %.1f\n", cpu, rss}' "/proc/$pid/stat"
  done | awk '{cpu+=$1; rss+=$2; n++} END {printf "%.2f %.1f %d\n", cpu, rss/n, n}'
}

# vars prints the sum of a counter over all processes.
vars() {
  local total=0 n
  for port in "${@:2}"; do
    n=$(curl -s "http://$port/debug/vars" | grep -o "\"$1\": *[0-9]*" | head -1 | grep -o '[0-9]*$' || echo 0)
    total=$((total + n))
  done
  echo "$total"
}

overhead() {
  PLAIN_FLAGS='--set {"delay_ms":0,"cold":64,"max":64}' scripts/cluster.sh up ndiaye "$dir"
  . "$dir/env"
  cat >"$dir/scenario.toml" <<TOML
name = "overhead: a document of 4 tokens from a plain service without delay"
seed = $1
warmup = "3s"
length = "10s"
[[stream]]
name = "direct"
path = "/lookups"
rate = 300
size = 400
targets = [$(targets 127.0.0.1:8113 127.0.0.1:8114 127.0.0.1:8115)]
[[stream]]
name = "through entry and agent"
path = "/v1/services/order-desk/lookups"
rate = 300
size = 400
headers = {Authorization = "Bearer overhead"}
targets = [$(targets $ENTRIES)]
TOML
  printf '[[team]]\nname = "overhead"\nkeys = ["%s"]\n' "$(printf overhead | sha256sum | cut -d' ' -f1)" >"$dir/team.toml"
  .out/bin/parsley --config "$dir/parsley.toml" apply "$dir/team.toml" --wait >/dev/null 2>&1
  local idle before after
  idle="$(usage entry) $(usage agent)"
  sleep 10
  idle="$idle $(usage entry) $(usage agent)"
  before="$(usage entry) $(usage agent)"
  .out/bin/bench load "$dir/scenario.toml" --json "$out/overhead.jsonl"
  after="$(usage entry) $(usage agent)"
  echo "$before $after $idle" | awk '{
    e=($19-$13)/10; a=($22-$16)/10
    printf "\nprocessor time for each request: entries %.0f us, agents %.0f us\n", (($7-$1)/13-e)/300*1e6, (($10-$4)/13-a)/300*1e6
    printf "idle, in %% of a core: entry %.2f, agent %.2f; resident: entry %.1f MB, agent %.1f MB\n", e/$3*100, a/$6*100, $8, $11}'
  scripts/cluster.sh down "$dir"
}

case "${1:-}" in
overhead) for run in $(seq "${2:-5}"); do overhead "$run"; done ;;
*)
  sed -n '2,5s/^# \{0,1\}//p' "$0"
  exit 2
  ;;
esac
