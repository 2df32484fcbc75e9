#!/bin/sh
# A daemon dies inside a transaction, and connections to the primary are lost
# before and after a commit. Guards against half a transaction that is kept,
# against a lock that stays, and against a request that runs twice.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
sql 1 "CREATE TABLE booking (id INTEGER PRIMARY KEY)" || die "create"
sql 1 "CREATE TABLE slot_use (v INTEGER)" || die "create"
sql 1 "CREATE TABLE comfreywheel_request (id TEXT PRIMARY KEY)" ||
	die "create"

"$CLIENT" hold "$(conninfo 3 west)" "INSERT INTO booking VALUES (1)" 60 \
	>"$WORK/held" 2>/dev/null &
holder=$!
PIDS="$PIDS $holder"
wait_for 100 grep -q open "$WORK/held" || die "no open transaction"
test "$(sql 1 "SELECT count(*) FROM booking")" = 0 ||
	die "another caller sees an open transaction"
kill -9 "$DAEMON_PID_3"
kill "$holder"
wait_ready 1 west || die "the lock of the lost transaction stays"
sql 1 "INSERT INTO booking VALUES (2)" || die "no write after the death"
test "$(sql 2 "SELECT count(*) FROM booking")" = 1 ||
	die "half a transaction was kept"

# fault NAME: the next commit on the primary
fault () {
	"$CLIENT" sql "host=127.0.0.1 port=$(standin_port 1) dbname=main user=x sslmode=disable gssencmode=disable" \
		"SELECT standin_fault('$1', 1)" >/dev/null || die "fault $1"
}
uses () { sql 1 "SELECT count(*) FROM slot_use WHERE v = $1"; }
# resend ID VALUE: the same request through another daemon until it is known
resend () {
	for i in 1 2 3 4 5 6 7 8 9 10
	do
		said=$("$CLIENT" identified "$(conninfo 2 west)" "$1" \
			"INSERT INTO slot_use VALUES ($2)")
		case $said in
		done | 23505) return 0 ;;
		esac
		sleep 0.5
	done
	die "the resent request ended with $said"
}

seen=0
for case in before after
do
	fault drop_${case}_commit
	first=$("$CLIENT" identified "$(conninfo 1 west)" "$case" \
		"INSERT INTO slot_use VALUES (${#case})")
	resend "$case" ${#case}
	echo "lost $case the commit: first $first, then $said, rows $(uses ${#case})"
	test "$(uses ${#case})" = 1 || die "$case: the request ran $(uses ${#case}) times"
	# The daemon may itself run a request with an identity again.
	case $first in
	done | 08007 | 23505) ;;
	*) die "$case: the first answer was $first" ;;
	esac
	lost=$(($(counter 1 comfreywheel_retries_total) +
		$(counter 1 comfreywheel_outcome_unknown_total)))
	test "$lost" -gt "$seen" || die "$case: no connection was lost"
	seen=$lost
done
test "$said" = 23505 || die "a request that ran was executed again: $said"
echo "path_transaction done"
