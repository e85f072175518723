#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 GOFLAGS=-buildvcs=false go build -o target/review-lab ./review/_lab
