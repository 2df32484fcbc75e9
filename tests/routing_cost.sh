#!/bin/sh
# Guards against a routing decision whose cost grows with the number of
# databases or sessions: instructions, counted by callgrind, stay within 1.2
# times from 10 to 1,000 databases and from 100 to 100,000 sessions.
set -eu
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

instructions() {
	valgrind --tool=callgrind --callgrind-out-file="$folder/out" \
		"$program" "$1" "$2" "$3" 2>"$folder/log" >"$folder/answer"
	sed -n 's/^.*Collected : \([0-9]*\).*$/\1/p' "$folder/log"
}

# Per read; the set-up is the same in both runs and cancels out.
per_read() {
	few=$(instructions "$1" "$2" 5000)
	many=$(instructions "$1" "$2" 25000)
	echo $(((many - few) / 20000))
}

status=0
check() {
	if [ "$1" -gt 0 ] && [ $(($2 * 10)) -le $(($1 * 12)) ]; then
		verdict=met
	else
		verdict=MISSED
		status=1
	fi
	echo "$3: $1 to $2 instructions per decision," \
		"target within 1.2 times, $verdict"
}

small=$(per_read 10 100)
check "$small" "$(per_read 1000 100)" "10 to 1,000 databases"
check "$small" "$(per_read 10 100000)" "100 to 100,000 sessions"
check "$small" "$(per_read 1000 100000)" "both"
exit $status
