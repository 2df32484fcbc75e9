#!/bin/sh
# The demo: three daemons, all with the control role, before the three
# planning clusters of grindplan-db, on loopback. Runs SQL through it.
set -u
BUILD=$1
WORK=$(mktemp -d)
here=$(dirname "$0")
. "$here/../tests/path/lib.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
trap 'exit 1' INT TERM

echo "starting 3 daemons and 9 test upstreams in $WORK"
start_deployment 3 3 west central east
wait_for 100 ctl status || die "no control leader"
ctl apply "$here/lakeshore/routes.ini" "$here/lakeshore/pools.ini" ||
	die "apply"
wait_ready 1 west || die "writes do not pass through vm-1"

sql () {
	echo "vm-$1> $2"
	"$CLIENT" sql "$(conninfo "$1" west)" "$2" || die "$2"
}

sql 1 "CREATE TABLE booking (id INTEGER PRIMARY KEY, slot TEXT)"
sql 1 "INSERT INTO booking VALUES (1, 'grinder 7, window 04:10')"
sql 2 "SELECT * FROM booking"
sql 3 "BEGIN; INSERT INTO booking VALUES (2, 'grinder 9, window 05:00'); COMMIT"
sql 1 "SELECT count(*) FROM booking"
ctl status
echo "demo done"
