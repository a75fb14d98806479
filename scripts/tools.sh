#!/usr/bin/env bash
# Builds the pinned developer tools into .bin.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off GOBIN="$PWD/.bin" go -C tools install tool
