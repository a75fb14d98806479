#!/usr/bin/env bash
# Runs case 6 after the build of the deploy file and review/build-2.sh; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gate ] && [ -x target/rank ] && [ -x target/review/stand-2 ] || { echo "build first"; exit 2; }
exec target/review/stand-2 6 review/6/record.txt
