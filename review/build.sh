#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
export GOWORK=off GOPROXY=off
mkdir -p ../target/review
for main in [1-5]/main.go; do
	[ -e "$main" ] || continue
	n=$(dirname "$main")
	go build -buildvcs=false -o "../target/review/case$n" "./$n"
done
