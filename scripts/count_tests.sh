#!/usr/bin/env bash
# Runs `make test`, prints the numbers of passed and failed specs and tests, and fails
# unless every failure is listed in KNOWN-RED.txt. A line of KNOWN-RED.txt is
# "test: NAME | command: ... | seed: ... | seen: ... | issue: N".
set -uo pipefail
log=$(mktemp)
trap 'rm -f "$log"' EXIT

make test TEST_FLAGS="-v" >"$log" 2>&1
code=$?

known=0
if [ -f KNOWN-RED.txt ] && grep -q '^test: ' KNOWN-RED.txt; then
	echo "known failures, which do not fail this check:"
	grep '^test: ' KNOWN-RED.txt
	known=1
fi

# Ginkgo ends the output of each suite with "Ran N of M Specs" and "P Passed | F Failed".
# The Go test function that runs a suite is not counted in addition to its specs.
spec_passed=$(sed 's/\x1b\[[0-9;]*m//g' "$log" | grep -oE '[0-9]+ Passed' | awk '{n+=$1} END {print n+0}')
spec_failed=$(sed 's/\x1b\[[0-9;]*m//g' "$log" | grep -oE '[0-9]+ Failed' | awk '{n+=$1} END {print n+0}')
suites=$(grep -c '^Running Suite' "$log")
go_passed=$(grep -c '^--- PASS' "$log")
go_failed=$(grep -c '^--- FAIL' "$log")
suites_failed=$(sed 's/\x1b\[[0-9;]*m//g' "$log" | grep -cE 'FAIL! --')
passed=$((spec_passed + go_passed - suites + suites_failed))
failed=$((spec_failed + go_failed - suites_failed))

# failures prints one line for each failed spec and test function, and for each
# package that did not build, panicked or timed out, or failed without a list of its failures.
failures() {
	sed 's/\x1b\[[0-9;]*m//g' "$log" | awk '
		/^=== RUN/ { run = $3 }
		/^Running Suite/ { suite[run] = 1 }
		/^ *\[(FAIL|PANICKED|TIMEDOUT)\] / { print; listed = 1 }
		/^--- FAIL: / { listed = 1; if (!($3 in suite)) print }
		/^FAIL\ttamarackreach\// && !listed { print "package failed without a list of failures: " $2 }
		/^(ok|FAIL|\?) *\ttamarackreach\// { listed = 0 }
		/\[(build|setup) failed\]/ || /^panic: / { print }
	' | sort -u
}

# details prints the beginning of what each failed spec reported, so that a known failure that
# shows rarely can be traced from the output of the run that it failed in.
details() {
	sed 's/\x1b\[[0-9;]*m//g' "$log" | awk '/^ *\[FAILED\] / { left = 12 } left-- > 0 { print substr($0, 1, 400) }' | head -n 200
}

# hung prints where the goroutines of a package's tests were when the package timed out, so that a
# test that rarely hangs can be traced from the output of the run that it hung in.
hung() {
	awk '
		/^panic: test timed out/ { stacks = 1; print }
		/^FAIL\ttamarackreach\// && stacks { print; stacks = 0 }
		stacks && /^goroutine / { header = $0; function_name = "" }
		stacks && /^[a-zA-Z].*\(.*\)$/ { function_name = $0 }
		stacks && /^\t.*\/(internal|platform|e2e|cmd)\/.*\.go:[0-9]+/ {
			if (header != "") print header
			header = ""
			print "  " substr(function_name, 1, 160) " " $1
		}
	' "$log" | head -n 400
}

# listed returns success for a failure line that contains a name in KNOWN-RED.txt.
listed() {
	sed -n 's/^test: \([^|]*[^| ]\) *|.*/\1/p' KNOWN-RED.txt 2>/dev/null | while IFS= read -r name; do
		case "$1" in *"$name"*) echo yes ;; esac
	done | grep -q yes
}

if [ "$code" -ne 0 ]; then
	failures
	details
	unlisted=$(failures | while IFS= read -r line; do listed "$line" || echo "$line"; done | wc -l)
	if [ "$known" = 0 ] || [ "$unlisted" -gt 0 ] || [ "$(failures | wc -l)" = 0 ]; then
		tail -n 200 "$log"
		hung
		# Again at the end, since the beginning of a long output may not be kept.
		echo "failures that KNOWN-RED.txt does not list:"
		failures | while IFS= read -r line; do listed "$line" || echo "$line"; done
		echo "$passed passed, $failed failed"
		exit 1
	fi
fi
echo "$passed passed, $failed failed"
