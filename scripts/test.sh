#!/usr/bin/env bash
# Builds the programs and runs all tests with the race detector. Tests listed in
# KNOWN-RED.txt are skipped, and the list is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/modules.sh
scripts/build.sh
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo 'skipped, because KNOWN-RED.txt lists them:'
  cat KNOWN-RED.txt
  names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
  skip=(-skip "^($names)\$")
fi
# Tests with real processes fail if their stand-ins are late by seconds. The compiler, on a
# machine without a build cache, and random tests of other packages take all processors.
processes=(./fakes/soak ./fakes/system)
go test -race -run '^$' $MODULES > .out/compile.log 2>&1 || { cat .out/compile.log; exit 1; }
status=0
go test -race -count=1 -timeout 15m "${skip[@]}" "$@" $(go list $MODULES | grep -v '/fakes/\(soak\|system\)$') || status=1
go test -race -count=1 -timeout 15m "${skip[@]}" "$@" "${processes[@]}" || status=1
exit $status
