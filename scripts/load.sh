#!/usr/bin/env bash
# Load-tests two gates in front of the stand-in platform on this machine. Prints
# the result table and the CPU time of the gates, and writes the table, a plot and
# the logs to .out/load.
#
#   scripts/load.sh [PLAIN_PER_S [STREAMS_PER_S]]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
out=$PWD/.out/load
mkdir -p "$out"
dir=$(mktemp -d)
pids=()
cleanup() {
  # Stop the gates before the platform that they depend on.
  for p in "${pids[@]:1}"; do kill "$p" 2>/dev/null || true; done
  wait "${pids[@]:1}" 2>/dev/null || true
  kill "${pids[0]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

bin=.out/bin
"$bin/fakes" site --dir "$dir" --gates 2 --port 18300 2>"$out/site.log" &
pids+=($!)
for _ in $(seq 50); do [ -s "$dir/gate-1.toml" ] && break; sleep 0.1; done
for g in 0 1; do
  "$bin/gate" --settings "$dir/gate-$g.toml" >"$out/gate-$g.log" 2>&1 &
  pids+=($!)
done
for port in 18302 18312; do
  for _ in $(seq 50); do [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$port/ready")" = 200 ] && break; sleep 0.1; done
done

cat >"$dir/load.toml" <<TOML
name = "two gates in front of the stand-in platform"
seed = 1
warmup = "2s"
length = "10s"
targets = ["127.0.0.1:18300", "127.0.0.1:18310"]
[[stream]]
name = "lookup"
method = "GET"
path = "/lookup/"
rate = ${1:-200}
[[stream]]
name = "draft"
path = "/draft/"
rate = ${2:-50}
size = 800
TOML
# gate_cpu_seconds prints the CPU time that the gates have used.
gate_cpu_seconds() {
  for p in "${pids[@]:1}"; do awk -v hz="$(getconf CLK_TCK)" '{print ($14+$15)/hz}' "/proc/$p/stat"; done | awk '{s+=$1} END {print s}'
}
before=$(gate_cpu_seconds)
"$bin/bench" load "$dir/load.toml" --plot "$out/load.png" | tee "$out/load.md"
echo
echo "CPU seconds of both gates: $(echo "$before $(gate_cpu_seconds)" | awk '{printf "%.2f", $2-$1}') (12 s of load)"
echo "plot: $out/load.png"
