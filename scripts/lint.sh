#!/usr/bin/env bash
# Checks format, lint, vet and staticcheck of all modules. Prints what is wrong
# and exits with 1 if anything is.
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
