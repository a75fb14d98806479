#!/usr/bin/env bash
# Builds the pinned developer tools into .bin. gopls has a module of its own,
# since it needs an older golang.org/x/tools than the other tools.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in tools tools/gopls; do
  GOWORK=off GOBIN="$PWD/.bin" go -C "$module" install tool
done
