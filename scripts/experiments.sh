#!/bin/sh
# Plays every scenario of the two users' deployments several times, one run
# after the other, and prints their table. A run that broke a promise does not
# stop the others. Usage: scripts/experiments.sh BIN-DIRECTORY OUT-DIRECTORY RUNS
# [DEPLOYMENT], where DEPLOYMENT begins the names of the scenarios to play.
set -eu
bin=$1
out=$2
runs=$3
only=${4:-}
mkdir -p "$out"
reports=
for run in $(seq "$runs"); do
	for scenario in scenarios/linha-dourada-*.json scenarios/kootenay-lacing-*.json; do
		name=$(basename "$scenario" .json)
		case "$name" in "$only"*) ;; *) continue ;; esac
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
