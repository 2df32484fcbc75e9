#!/bin/sh
# A primary whose answers to probes come a byte a second, while it runs the
# writes of callers. Guards against a primary that is replaced although it
# answers. A write may meet a slow connection too and fail; the primary stays.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
# write_through N: writes by daemon N for some seconds
write_through () {
	for k in $(seq 1 150)
	do
		sql "$1" "INSERT INTO probe VALUES ($1$k)" >/dev/null 2>&1 &&
			echo done
		sleep 0.01
	done >"$WORK/writes-$1"
}
# Without callers only the probe connections speak.
"$CLIENT" sql "host=127.0.0.1 port=$(standin_port 1) dbname=main user=x sslmode=disable gssencmode=disable" \
	"SELECT standin_fault('slow_answers', 3)" >/dev/null || die "fault"
sleep 0.3
WRITERS=
for n in 1 2 3
do
	write_through "$n" &
	WRITERS="$WRITERS $!"
done
for pid in $WRITERS
do
	wait "$pid"
done
for n in 1 2 3
do
	echo "writes done by vm-$n: $(wc -l <"$WORK/writes-$n")"
done
ctl status | grep -q 'west  *west-1  *1 ' || die "the primary was replaced"
echo "path_alive done"
