#!/usr/bin/env bash
# Starts or stops a complete system of one deployment on loopback addresses:
# stand-ins for the platform and the upstreams, one agent for each declared
# upstream, and the entries. Run scripts/build.sh first.
#
#   scripts/cluster.sh up DEPLOYMENT DIR     DEPLOYMENT is ndiaye or chinook
#   scripts/cluster.sh down DIR
#
# The settings, logs and process ids and the file env with the addresses are
# written to DIR. BIN is the folder of the programs (default .out/bin), for example
# that of an earlier build. ENTRIES (default 2) is the number of entries in each
# zone; PICKER and AFFINITY (default on) are settings of the entries. STEP replaces
# the declared step of the upstreams. ENGINE_FLAGS, PLAIN_FLAGS and PLATFORM_FLAGS
# are added to the flags of the stand-ins. The team "bench" with the credential
# "bench" has no rate limit.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-$PWD/.out/bin}
platform=127.0.0.1:7000
peer_key=loopback-peer-key
operator_key=loopback-operator-key

down() {
  [ -f "$1/pids" ] || return 0
  xargs -r kill <"$1/pids" 2>/dev/null || true
  for pid in $(cat "$1/pids"); do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.05; done
    kill -9 "$pid" 2>/dev/null || true
  done
  rm -f "$1/pids"
}

# start NAME PROGRAM ARGUMENT... runs a program in the background.
start() {
  local name=$1
  shift
  "$bin/$1" "${@:2}" >"$dir/$name.log" 2>&1 &
  echo $! >>"$dir/pids"
}

# wait_for URL waits until a GET of the URL succeeds. It tries 200 times, 50 ms apart.
wait_for() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "no successful response from $1; see the logs in $dir" >&2
  return 1
}

# common_settings NAME ZONE prints the settings that entries and agents share.
common_settings() {
  printf 'instance = "%s"\nzone = "%s"\nkey = "%s"\ngrace = "500ms"\n' "$1" "$2" "$peer_key"
}

# register_instance NAME ROLE ZONE PEER adds an instance to the platform's list.
register_instance() {
  curl -sf -o /dev/null -X PUT "http://$platform/control/instances" \
    -d "{\"name\":\"$1\",\"role\":\"$2\",\"zone\":\"$3\",\"peer\":\"$4\",\"leaving\":false}"
}

# declared_upstreams prints name, service, zone, agent, group, rank, limit and cold
# of each declared upstream. group and rank are "-" if the upstream is not a rank.
declared_upstreams() {
  awk -F'"' 'function flush() {if (n != "") print n, s, z, a, g, r, l, c}
    /^\[\[upstream\]\]/ {flush(); n=s=z=a=""; g=r="-"} /^name/ {n=$2} /^service/ {s=$2} /^zone/ {z=$2}
    /^agent/ {a=$2} /^group/ {g=$2} /^rank/ {sub(/rank *= */, ""); r=$0}
    /^limit/ {sub(/limit *= */, ""); l=$0} /^cold/ {sub(/cold *= */, ""); c=$0} END {flush()}' "examples/$deployment/upstreams.toml"
}

# start_groups starts a stand-in for each rank group and writes the addresses to
# $dir/groups. A group has 8 layers with 64 experts per layer, and each rank has 20
# expert slots per layer.
start_groups() {
  local port=7600 name ranks
  declared_upstreams | awk '$5 != "-" {n[$5]++} END {for (g in n) print g, n[g]}' | sort | while read -r name ranks; do
    port=$((port + 1))
    start "$name" fakes group --listen "127.0.0.1:$port" \
      --set "{\"layers\":8,\"ranks\":$ranks,\"slots_per_rank\":20,\"experts\":64,\"base_ms\":10}"
    wait_for "http://127.0.0.1:$port/control/stats"
    echo "$name 127.0.0.1:$port" >>"$dir/groups"
  done
}

up() {
  mkdir -p "$dir"
  : >"$dir/pids"
  start platform fakes platform --listen "$platform" ${PLATFORM_FLAGS:-}
  wait_for "http://$platform/control/stats"
  : >"$dir/groups"
  start_groups
  while read -r name service zone agent group rank limit cold; do
    local backend=127.0.0.1:$((${agent#*:} + 1000)) kind=engine flags=${ENGINE_FLAGS:-}
    case $service in *-desk) kind=plain flags=${PLAIN_FLAGS:-} ;; esac
    # The stand-in gets the declared limits. A --set in the flags overrides them.
    # shellcheck disable=SC2086
    start "$name" fakes "$kind" --listen "$backend" --set "{\"cold\":$cold,\"max\":$limit}" $flags
    {
      common_settings "agent-$name" "$zone"
      printf 'listen = "%s"\nupstream = "%s"\n[platform]\naddress = "%s"\n' "$agent" "$name" "$platform"
      printf '[engine]\nkind = "%s"\naddress = "%s"\n' "$kind" "$backend"
      if [ "$group" != - ]; then
        printf 'group = "%s"\nrank = %d\n' "$(awk -v g="$group" '$1 == g {print $2}' "$dir/groups")" "$rank"
      fi
    } >"$dir/agent-$name.toml"
    start "agent-$name" agent --settings "$dir/agent-$name.toml"
    register_instance "agent-$name" agent "$zone" "$agent"
  done < <(declared_upstreams)
  local n=0 entries=()
  for zone in $(declared_upstreams | awk '{print $3}' | sort -u); do
    for _ in $(seq "${ENTRIES:-2}"); do
      n=$((n + 1))
      {
        common_settings "entry-$n" "$zone"
        printf 'listen = "127.0.0.1:%d"\npeer = "127.0.0.1:%d"\npicker = "%s"\naffinity = "%s"\n' $((7300 + n)) $((7400 + n)) "${PICKER:-}" "${AFFINITY:-on}"
        printf '[platform]\naddress = "%s"\n[operators]\nlocal = "%s"\n' "$platform" \
          "$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)"
      } >"$dir/entry-$n.toml"
      start "entry-$n" entry --settings "$dir/entry-$n.toml"
      register_instance "entry-$n" entry "$zone" "127.0.0.1:$((7400 + n))"
      entries+=("127.0.0.1:$((7300 + n))")
    done
  done
  printf '%s\n' "entries = [$(printf '"%s",' "${entries[@]}" | sed 's/,$//')]" "key = \"$operator_key\"" >"$dir/parsley.toml"
  for e in "${entries[@]}"; do wait_for "http://$e/healthz"; done
  mkdir -p "$dir/declarations"
  cp "examples/$deployment"/*.toml "$dir/declarations"
  if [ -n "${STEP:-}" ]; then sed -i "s/^step = .*/step = $STEP/" "$dir/declarations/upstreams.toml"; fi
  printf '[[team]]\nname = "bench"\npriority = 5\nkeys = ["%s"]\n' "$(printf bench | sha256sum | cut -d' ' -f1)" >"$dir/declarations/bench.toml"
  "$bin/parsley" --config "$dir/parsley.toml" apply "$dir/declarations" --wait >"$dir/apply.log" 2>&1
  for e in "${entries[@]}"; do wait_for "http://$e/readyz"; done
  printf 'ENTRIES="%s"\nPLATFORM=%s\nOPERATOR_KEY=%s\n' "${entries[*]}" "$platform" "$operator_key" >"$dir/env"
}

case "${1:-}" in
up)
  deployment=$2 dir=$3
  trap 'down "$dir"' ERR
  up
  ;;
down) down "$2" ;;
*)
  sed -n '2,15s/^# \{0,1\}//p' "$0"
  exit 2
  ;;
esac
