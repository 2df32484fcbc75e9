#!/bin/sh
# Kills the primary, the control leader and a daemon under writes. Guards
# against a lost acknowledged write and against a refused one that ran.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
sql 1 "CREATE TABLE landed (id INTEGER PRIMARY KEY)" || die "create"
"$CLIENT" write-log "$WORK/said" 900 5000 "$(conninfo 1 west)" \
	"$(conninfo 2 west)" "$(conninfo 3 west)" 2>/dev/null &
writer=$!
lines () { test "$(wc -l <"$WORK/said")" -ge "$1"; }
wait_for 600 lines 200 || die "the writer made no progress"
kill -9 "$STANDIN_PID_1"
echo "killed the primary west-1"
wait_for 900 lines 500 || die "the writer stopped after the fail-over"
leader=$(ctl status --json | sed -n 's/.*"leader": *\([0-9]*\).*/\1/p' | head -n 1)
eval "kill -9 \$DAEMON_PID_${leader:-1}"
echo "killed the control leader vm-${leader:-1}"
wait_for 900 lines 700 || die "the writer stopped after the leader's death"
start_daemon "${leader:-1}"
wait "$writer"
wait_ready 1 west || die "vm-1 does not serve"
wait_ready 2 west || die "vm-2 does not serve"
"$CLIENT" check-log "$WORK/said" "$(conninfo 2 west)" || die "check-log"
ctl status
echo "path_failover done"
