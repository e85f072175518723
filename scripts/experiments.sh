#!/bin/sh
# Runs every scenario of the two users' deployments RUNS times, one run after the
# other, and prints the table of their reports. A failed run does not stop the
# others. Usage: scripts/experiments.sh BIN-DIRECTORY OUT-DIRECTORY RUNS
# [DEPLOYMENT], where DEPLOYMENT is a prefix of the names of the scenarios to run.
set -eu
bin=$1
out=$2
runs=$3
prefix=${4:-}
mkdir -p "$out"
reports=
for run in $(seq "$runs"); do
	for scenario in scenarios/linha-dourada-*.json scenarios/kootenay-lacing-*.json; do
		name=$(basename "$scenario" .json)
		case "$name" in "$prefix"*) ;; *) continue ;; esac
		echo "run $run of $name"
		report="$out/$name-$run.json"
		rm -f "$report"
		scripts/run.sh "$bin" "$scenario" "$report" "$out" >"$out/$name-$run.log" 2>&1 || true
		grep -E '^(RESULT|violation|recovery)' "$out/$name-$run.log" | cut -c1-300 || true
		if [ -e "$report" ]; then reports="$reports $report"; fi
	done
done
# shellcheck disable=SC2086 # reports is a list of files
"$bin/tamarack-load" -table $reports
