#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../target/review/stand-2 ./stand-2
