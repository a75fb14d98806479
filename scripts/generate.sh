#!/usr/bin/env bash
# Generates core/wire from core/proto.
set -euo pipefail
cd "$(dirname "$0")/../core"
../.bin/buf generate
