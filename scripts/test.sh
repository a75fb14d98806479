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
go test -race -count=1 -timeout 15m "${skip[@]}" "$@" $MODULES
