#!/bin/sh
# Starts a scenario's deployment of daemons and stand-ins, plays the scenario
# against it and stops everything it started, also on an interrupt or an error.
# Usage: scripts/run.sh BIN-DIRECTORY SCENARIO [REPORT-FILE [PLOT-DIRECTORY]]
set -eu
bin=$1
scenario=$2
report=${3:-}
plots=${4:-}
dir=$(mktemp -d)
supervisors=
player=

# stop_child ends a process of a supervisor: gently, then at once.
stop_child() {
	kill -CONT "$1" 2>/dev/null || return 0
	kill "$1" 2>/dev/null || return 0
	(sleep 3 && kill -KILL "$1") >/dev/null 2>&1 &
	late=$!
	wait "$1" 2>/dev/null || true
	kill "$late" 2>/dev/null || true
}

# supervise runs a process and runs it again when it ended and the player left
# a restart mark. The process id is in NAME.pid.
supervise() {
	name=$1
	program=$2
	shift 2
	child=
	trap 'if [ -n "$child" ]; then stop_child "$child"; fi; exit 0' TERM INT
	while :; do
		"$bin/$program" "$@" >>"$dir/$name.log" 2>&1 &
		child=$!
		echo "$child" >"$dir/$name.pid"
		wait "$child" || true
		child=
		[ -e "$dir/$name.restart" ] || exit 0
		rm "$dir/$name.restart"
	done
}

stop() {
	trap '' INT TERM
	for pid in $player $supervisors; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $player $supervisors; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap stop EXIT
trap 'exit 1' INT TERM

"$bin/tamarack-load" -write -scenario "$scenario" -dir "$dir"
while read -r name program args; do
	# shellcheck disable=SC2086 # args is a list of words
	supervise "$name" "$program" $args &
	supervisors="$supervisors $!"
done <"$dir/processes.txt"
echo "started $(wc -l <"$dir/processes.txt") processes"

"$bin/tamarack-load" -scenario "$scenario" -dir "$dir" -report "$report" -plots "$plots" &
player=$!
code=0
wait "$player" || code=$?
player=
if [ "$code" -ne 0 ]; then
	find "$dir" -name '*.log' -size +0 -exec tail -n 5 {} + >&2
fi
exit "$code"
