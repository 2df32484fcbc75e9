#!/bin/sh
# All daemons stop and go on many times, as VMs do whose processor is taken
# away. Guards against a healthy primary that is replaced because the daemons
# themselves were late to read its answers.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
for round in $(seq 1 30)
do
	for n in 1 2 3
	do
		eval "kill -STOP \$DAEMON_PID_$n"
	done
	sleep 0.25
	for n in 1 2 3
	do
		eval "kill -CONT \$DAEMON_PID_$n"
	done
	sleep 0.01
done
wait_ready 1 west || die "writes do not pass after the stalls"
unchanged () { ctl status | grep -q 'west  *west-1  *1 '; }
wait_for 100 unchanged || die "the primary was replaced: $(ctl status)"
echo "path_stalls done"
