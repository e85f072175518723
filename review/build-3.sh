#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/review-3. It needs no network once the modules
# of the project are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -buildvcs=false -o target/review-3/lab ./review/_lab3
