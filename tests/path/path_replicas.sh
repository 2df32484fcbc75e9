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

# A replica that serves reads and then leaves gets no more of them, while the
# other one does.
direct 2 "SELECT standin_fault('lag_ms', 0)" >/dev/null || die "fault"
direct 3 "SELECT standin_fault('lag_ms', 0)" >/dev/null || die "fault"
statements () { direct "$1" "SELECT standin_statements()"; }
serves_reads () {
	"$CLIENT" roam 20 "$a" "$b" >/dev/null &&
		test "$(statements 2)" -gt 0 && test "$(statements 3)" -gt 0
}
wait_for 100 serves_reads || die "the replicas serve no reads"
direct 2 "SELECT standin_fault('leaving', 1)" >/dev/null || die "fault"
sleep 2
leaving=$(statements 2)
staying=$(statements 3)
"$CLIENT" roam 50 "$a" "$b" || die "reads fail while a replica leaves"
serves_on () {
	"$CLIENT" roam 20 "$a" "$b" >/dev/null &&
		test "$(statements 3)" -gt "$staying"
}
wait_for 50 serves_on || die "the other replica serves no reads"
echo "caller statements on the leaving replica: $leaving then $(statements 2)"
test "$leaving" = "$(statements 2)" || die "a leaving replica got work"

# A replica that dies takes no request and no acknowledgement with it.
direct 2 "SELECT standin_fault('leaving', 0)" >/dev/null || die "fault"
kill -9 "$STANDIN_PID_3"
"$CLIENT" roam 100 "$a" "$b" || die "requests fail after a replica's death"
echo "path_replicas done"
