#!/bin/sh
# Eight daemons before databases of 16 connections, used in turn, while two of
# them die and return. Guards against a connection budget that is exceeded and
# against a daemon that gets no connection for its first request.
. "$(dirname "$0")/setup.sh"
DAEMONS=8
BUDGET=16

# peak INDEX: most connections a database had; asked until one is free
peak () {
	"$CLIENT" sql "host=127.0.0.1 port=$(standin_port "$1") dbname=main user=x sslmode=disable gssencmode=disable" \
		"SELECT standin_peak_connections()" 2>/dev/null
}
check_peaks () {
	for index in 1 2 3
	do
		wait_for 50 peak $index || die "west-$index has no connection free"
		most=$(peak $index)
		echo "$1: west-$index had at most $most connections"
		test "$most" -le "$BUDGET" || die "west-$index had $most connections"
	done
}
writes () { sql "$1" "INSERT INTO landed VALUES ($2)"; }
# use_each ROUND: a row through each daemon, refused ones again
use_each () {
	for n in $(seq 1 $DAEMONS)
	do
		row=$(($1 * 100 + n))
		tries=5
		until writes "$n" "$row" 2>"$WORK/refusal"
		do
			grep -q '^57P03\|^53300' "$WORK/refusal" ||
				die "row $row: $(cat "$WORK/refusal")"
			tries=$((tries - 1))
			test "$tries" -gt 0 || die "vm-$n serves no request"
		done
	done
}

start_and_apply $DAEMONS 3 west
sql 1 "CREATE TABLE landed (id INTEGER PRIMARY KEY)" || die "create"
use_each 1
use_each 2
check_peaks "all alive"
kill_and_wait "$DAEMON_PID_7" "$DAEMON_PID_8"
start_daemon 7
start_daemon 8
wait_ready 7 west || die "vm-7 does not serve"
wait_ready 8 west || die "vm-8 does not serve"
use_each 3
check_peaks "after two deaths"
test "$(sql 1 "SELECT count(*) FROM landed")" = $((3 * DAEMONS)) ||
	die "rows are missing or doubled"
echo "path_budget done"
