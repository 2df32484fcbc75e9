#!/bin/sh
# Freezes the primary, lets a new one be promoted and thaws the old one.
# Guards against acknowledgements of a replaced primary.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
sql 1 "CREATE TABLE landed (id INTEGER PRIMARY KEY)" || die "create"
"$CLIENT" write-log "$WORK/said" 800 5000 "$(conninfo 1 west)" \
	"$(conninfo 2 west)" "$(conninfo 3 west)" 2>/dev/null &
writer=$!
lines () { test "$(wc -l <"$WORK/said")" -ge "$1"; }
wait_for 600 lines 200 || die "the writer made no progress"
kill -STOP "$STANDIN_PID_1"
promoted () { ctl status --json | grep -q '"primary": "west-[23]"'; }
wait_for 300 promoted || die "no promotion"
kill -CONT "$STANDIN_PID_1"
echo "promoted, old primary thawed"
wait "$writer"
"$CLIENT" check-log "$WORK/said" "$(conninfo 2 west)" || die "check-log"
# A write taken by the old primary itself must not show up anywhere.
"$CLIENT" sql "host=127.0.0.1 port=$(standin_port 1) dbname=main user=x sslmode=disable gssencmode=disable" \
	"INSERT INTO landed VALUES (100001)" 2>/dev/null
test "$(sql 1 "SELECT count(*) FROM landed WHERE id = 100001")" = 0 ||
	die "a read went to the replaced primary"
echo "path_isolated done"
