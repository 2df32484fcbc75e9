#!/bin/sh
# Replicas that lag, leave and return. Guards against stale reads and against
# work on a leaving upstream.
. "$(dirname "$0")/setup.sh"

start_and_apply 2 1 west
direct () {
	"$CLIENT" sql "host=127.0.0.1 port=$(standin_port "$1") dbname=main user=x sslmode=disable gssencmode=disable" "$2"
}
a=$(conninfo 1 west) b=$(conninfo 2 west)
direct 2 "SELECT standin_fault('lag_ms', 400)" >/dev/null || die "fault"
direct 3 "SELECT standin_fault('lag_ms', 2000)" >/dev/null || die "fault"
"$CLIENT" roam 100 "$a" "$b" || die "stale read behind lagging replicas"

# Reads by replica name: a leaving one is not named any more.
direct 2 "SELECT standin_fault('lag_ms', 0)" >/dev/null
direct 3 "SELECT standin_fault('lag_ms', 0)" >/dev/null
named () {
	for i in 1 2 3 4 5 6 7 8 9 10
	do
		sql 1 "SELECT standin_name()"
	done | sort | uniq -c
}
direct 2 "SELECT standin_fault('leaving', 1)" >/dev/null
sleep 2
before=$(direct 2 "SELECT standin_statements()")
"$CLIENT" roam 50 "$a" "$b" || die "reads fail while a replica leaves"
after=$(direct 2 "SELECT standin_statements()")
echo "caller statements on the leaving replica: $before then $after"
test "$before" = "$after" || die "a leaving replica got work"
echo "path_replicas done"
