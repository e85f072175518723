#!/bin/sh
# Starts a deployment of daemons and stand-ins, plays load against it and stops
# everything it started. Usage: scripts/run.sh BIN-DIRECTORY [SECONDS]
set -eu
bin=$1
seconds=${2:-8}
dir=$(mktemp -d)
pids=

stop() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $pids; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap stop EXIT
trap 'exit 1' INT TERM

"$bin/tamarack-load" -write -dir "$dir"
while read -r name program args; do
	# shellcheck disable=SC2086 # args is a list of words
	"$bin/$program" $args >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
done <"$dir/processes.txt"
echo "started $(wc -l <"$dir/processes.txt") processes"

if "$bin/tamarack-load" -dir "$dir" -seconds "$seconds"; then
	exit 0
fi
tail -n 5 "$dir"/*.log
exit 1
