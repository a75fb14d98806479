#!/usr/bin/env bash
# Builds all programs into .out/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .out/bin
go build -o .out/bin/ ./entry ./agent ./parsley ./fakes ./bench ./gate ./rank
