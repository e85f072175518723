#!/bin/sh
# Starts a scenario's deployment of daemons and stand-ins, runs the scenario
# against it and stops every process that it started, also on an interrupt or error.
# Usage: scripts/run.sh BIN-DIRECTORY SCENARIO [REPORT-FILE [PLOT-DIRECTORY]]
set -eu
bin=$1
scenario=$2
report=${3:-}
plots=${4:-}
dir=$(mktemp -d)
supervisors=
load_pid=

# stop_child stops a process of a supervisor: it sends SIGTERM, then SIGKILL after
# 3 seconds. SIGCONT comes first, as a stopped process does not handle SIGTERM.
stop_child() {
	kill -CONT "$1" 2>/dev/null || return 0
	kill "$1" 2>/dev/null || return 0
	(sleep 3 && kill -KILL "$1") >/dev/null 2>&1 &
	killer=$!
	wait "$1" 2>/dev/null || true
	kill "$killer" 2>/dev/null || true
}

# supervise runs a process and restarts it if, when it exits, the load generator has
# created NAME.restart. The process id is in NAME.pid.
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
	for pid in $load_pid $supervisors; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $load_pid $supervisors; do
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
load_pid=$!
code=0
wait "$load_pid" || code=$?
load_pid=
if [ "$code" -ne 0 ]; then
	find "$dir" -name '*.log' -size +0 -exec tail -n 5 {} + >&2
fi
exit "$code"
