#!/bin/sh
# Stops a daemon gracefully under load. Guards against a request cut off.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
load=
for i in 1 2 3 4 5 6 7 8
do
	"$CLIENT" drain "$(conninfo 3 west)" 1000000 &
	load="$load $!"
done
sleep 1
kill -TERM "$DAEMON_PID_3"
for pid in $load
do
	wait "$pid" || die "a request was cut off"
done
wait "$DAEMON_PID_3" || die "the drained daemon ended with an error"
sql 1 "SELECT 1" || die "the others do not serve"
echo "path_drain done"
