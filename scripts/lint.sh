#!/usr/bin/env bash
# Checks all modules with gofumpt, revive, go vet and staticcheck, in this order.
# Stops with a non-zero status at the first tool that reports a problem.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/modules.sh
unformatted=$(git ls-files -co --exclude-standard '*.go' | grep -v '^core/wire/' | xargs -r .bin/gofumpt -l)
if [ -n "$unformatted" ]; then
  printf 'not formatted with gofumpt:\n%s\n' "$unformatted"
  exit 1
fi
.bin/revive -config revive.toml -set_exit_status -exclude ./core/wire/... $MODULES
go vet $MODULES
.bin/staticcheck $MODULES
