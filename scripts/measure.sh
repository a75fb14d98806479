#!/usr/bin/env bash
# Runs a measurement against a complete system on this machine and prints the
# result tables. docs/measurements.md has the results and their conditions.
#
#   scripts/measure.sh overhead|tokens|zone|prefix [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
out=$PWD/.out/measure
mkdir -p "$out"
dir=$(mktemp -d)
trap 'scripts/cluster.sh down "$dir"; rm -rf "$dir"' EXIT

# toml_list ADDRESS... prints the addresses as elements of a TOML array.
toml_list() { printf '"%s",' "$@" | sed 's/,$//'; }

# process_usage PATTERN prints the total CPU time in seconds, the mean resident
# memory in MB and the number of the processes whose settings file matches.
process_usage() {
  for pid in $(pgrep -f -- "--settings $dir/$1"); do
    awk -v hz="$(getconf CLK_TCK)" -v page="$(getconf PAGESIZE)" \
      '{cpu=($14+$15)/hz; rss=$24*page/1048576} END {printf "%.2f %.1f\n", cpu, rss}' "/proc/$pid/stat"
  done | awk '{cpu+=$1; rss+=$2; n++} END {printf "%.2f %.1f %d\n", cpu, rss/n, n}'
}

# sum_counter NAME ADDRESS... prints the sum of a counter over the processes.
sum_counter() {
  local total=0 n
  for port in "${@:2}"; do
    n=$(curl -s "http://$port/debug/vars" | grep -o "\"$1\": *[0-9]*" | head -1 | grep -o '[0-9]*$' || echo 0)
    total=$((total + n))
  done
  echo "$total"
}

# overhead SEED: latency of requests through entry and agent against direct ones,
# CPU time per request, and CPU and memory use of idle entries and agents.
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
targets = [$(toml_list 127.0.0.1:8113 127.0.0.1:8114 127.0.0.1:8115)]
[[stream]]
name = "through entry and agent"
path = "/v1/services/order-desk/lookups"
rate = 300
size = 400
headers = {Authorization = "Bearer bench"}
targets = [$(toml_list $ENTRIES)]
TOML
  local idle before after
  idle="$(process_usage entry) $(process_usage agent)"
  sleep 10
  idle="$idle $(process_usage entry) $(process_usage agent)"
  before="$(process_usage entry) $(process_usage agent)"
  .out/bin/bench load "$dir/scenario.toml" --json "$out/overhead.jsonl"
  after="$(process_usage entry) $(process_usage agent)"
  echo "$before $after $idle" | awk '{
    e=($19-$13)/10; a=($22-$16)/10
    printf "\nCPU time per request: entries %.0f us, agents %.0f us\n", (($7-$1)/13-e)/300*1e6, (($10-$4)/13-a)/300*1e6
    printf "idle CPU use in %% of one core: entry %.2f, agent %.2f; resident memory: entry %.1f MB, agent %.1f MB\n", e/$3*100, a/$6*100, $8, $11}'
  scripts/cluster.sh down "$dir"
}

# zone SEED DEPLOYMENT SERVICE PATH ZONE RATE: takes a zone out of service 15 s
# after the warmup and returns it at 35 s.
zone() {
  STEP=2 ENGINE_FLAGS='--set {"base_ms":20,"tokens":32,"step":1}' scripts/cluster.sh up "$2" "$dir"
  . "$dir/env"
  local first=${ENTRIES%% *}
  cat >"$dir/scenario.toml" <<TOML
name = "$2, $6 requests/s of 32 tokens: zone $5 out at 15 s, in at 35 s (seed $1)"
seed = $1
warmup = "30s"
length = "50s"
targets = [$(toml_list $ENTRIES)]
[[stream]]
name = "$3"
path = "/v1/services/$3$4"
rate = $6
body = '{"tokens":32,"stream":true}'
headers = {Authorization = "Bearer bench", Accept = "text/event-stream"}
[[event]]
name = "out"
at = "15s"
url = "http://$first/v1/admin/out/zone/$5"
headers = {Authorization = "Bearer $OPERATOR_KEY"}
[[event]]
name = "in"
at = "35s"
method = "DELETE"
url = "http://$first/v1/admin/out/zone/$5"
headers = {Authorization = "Bearer $OPERATOR_KEY"}
TOML
  watch_zone "$5" >"$dir/last" &
  .out/bin/bench load "$dir/scenario.toml" --split 15,35 --json "$out/zone.jsonl" --plot "$out/zone-$2.png"
  wait
  cat "$dir/last"
  print_violations
  scripts/cluster.sh down "$dir"
}

# prefix SEED AFFINITY: sends prompts that start with one of 60 shared prefixes of
# 8 KB and prints how many prompt blocks the engines had in their caches.
prefix() {
  AFFINITY=$2 STEP=1 ENGINE_FLAGS='--set {"tokens":16,"blocks":320,"prefill_us":100,"step":1,"event_gap":2000}' scripts/cluster.sh up ndiaye "$dir"
  . "$dir/env"
  cat >"$dir/scenario.toml" <<TOML
name = "prompts with shared prefixes, affinity $2 (seed $1)"
seed = $1
warmup = "10s"
length = "15s"
targets = [$(toml_list $ENTRIES)]
[[stream]]
name = "prompts"
path = "/v1/services/lettering-model/letterings"
rate = 24
size = 300
shared = 60
prefix = 8192
headers = {Authorization = "Bearer bench", Accept = "text/event-stream"}
TOML
  .out/bin/bench load "$dir/scenario.toml" --json "$out/prefix.jsonl"
  for port in $(seq 8101 8112); do
    curl -s "http://127.0.0.1:$port/control/stats"
    echo
  done | tr '{,}' '\n' | awk -F: '/"prompt_blocks"/ {p += $2} /"hit_blocks"/ {h += $2}
    END {printf "\nprompt blocks served from a cache: %.1f%% of %d\n", 100*h/p, p}'
  scripts/cluster.sh down "$dir"
}

# tokens SEED: CPU time per streamed token, from two runs that differ only in the
# length of the streams.
tokens() {
  ENGINE_FLAGS='--set {"base_ms":5,"cold":16,"report_lag_ms":500}' STEP=1 scripts/cluster.sh up ndiaye "$dir"
  . "$dir/env"
  local n before after line=""
  for n in 20 200; do
    cat >"$dir/scenario.toml" <<TOML
name = "streams of $n tokens through one entry, 40 requests/s (seed $1)"
seed = $1
length = "12s"
targets = [$(toml_list "${ENTRIES%% *}")]
[[stream]]
name = "streams"
path = "/v1/services/lettering-model/letterings"
rate = 40
body = '{"tokens":$n,"stream":true}'
headers = {Authorization = "Bearer bench", Accept = "text/event-stream"}
TOML
    before="$(process_usage entry-1) $(process_usage agent)"
    .out/bin/bench load "$dir/scenario.toml" --json "$out/tokens.jsonl"
    after="$(process_usage entry-1) $(process_usage agent)"
    line="$line $before $after"
  done
  echo "$line" | awk '{
    e20=$7-$1; a20=$10-$4; e200=$19-$13; a200=$22-$16; extra=40*12*180
    printf "\nCPU time per token: entry %.1f us, agent %.1f us (totals for streams of 20 and 200 tokens: entry %.2f s and %.2f s, agent %.2f s and %.2f s)\n",
      (e200-e20)/extra*1e6, (a200-a20)/extra*1e6, e20, e200, a20, a200}'
  scripts/cluster.sh down "$dir"
}

# watch_zone ZONE prints an upper bound on the time from taking the zone out of
# service to the last request that an engine there started. It counts from 0.5 s
# before that event (30 s of warmup and 15 s of load) and polls while the zone is
# out.
watch_zone() {
  sleep 44.5
  local last=-1 last_at=0 watch_start now n
  watch_start=$(date +%s.%N)
  while awk -v a="$watch_start" -v b="$(date +%s.%N)" 'BEGIN {exit !(b - a < 18)}'; do
    n=$(started_requests "$1")
    now=$(date +%s.%N)
    if [ "$n" != "$last" ]; then last=$n last_at=$now; fi
    sleep 0.2
  done
  awk -v a="$watch_start" -v b="$last_at" 'BEGIN {printf "\nlast request started in the zone: at most %.1f s after it was taken out of service (counted from 0.5 s before, polled every 0.2 s)\n", b-a}'
}

# started_requests ZONE prints the number of requests that the engines of the zone
# have started.
started_requests() {
  awk -F'"' -v z="$1" '/^\[\[upstream\]\]/ {s=zo=""} /^service/ {s=$2} /^zone/ {zo=$2}
    /^agent/ && zo == z && s !~ /-desk$/ {split($2, a, ":"); print a[2]+1000}' "$dir/declarations/upstreams.toml" |
    while read -r port; do curl -s "http://127.0.0.1:$port/control/stats" | grep -o '"started":[0-9]*' | cut -d: -f2; done |
    awk '{n += $1} END {print n+0}'
}

# print_violations prints how many requests arrived at an upstream that was at its
# concurrency limit.
print_violations() {
  for port in $(seq 8101 8115) $(seq 8201 8215); do
    curl -s "http://127.0.0.1:$port/control/stats" | grep -o '"violations":[0-9]*' | cut -d: -f2 || true
  done | awk '{n += $1} END {print n+0}' | sed "s/^/requests above an upstream's concurrency limit: /"
}

case "${1:-}" in
zone)
  for run in $(seq "${2:-5}"); do
    zone "$run" ndiaye lettering-model /letterings dakar-medina "${RATE:-150}"
    zone "$run" chinook note-writer /notes prairie-b "${RATE:-150}"
  done
  ;;
prefix)
  for run in $(seq "${2:-3}"); do
    prefix "$run" off
    prefix "$run" on
  done
  ;;
tokens) for run in $(seq "${2:-5}"); do tokens "$run"; done ;;
overhead) for run in $(seq "${2:-5}"); do overhead "$run"; done ;;
*)
  sed -n '2,5s/^# \{0,1\}//p' "$0"
  exit 2
  ;;
esac
