#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemon. It needs no network: the module has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/lab2"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review-2/lab2 .
