#!/bin/sh
# Measures on real processes the slopes that docs/CAPACITY.md names: memory
# and processor time of a daemon against callers, statements, clusters, and of
# the control leader against daemons. Prints figures, judges nothing.
# Arguments: build folder, and what to measure.
STRIDE=80
ELECTION=1s
MAX_CALLERS=6000
. "$(dirname "$0")/setup.sh"
BENCH=$BUILD/comfreywheel-bench/comfreywheel-bench
TICK_MS=$((1000 / $(getconf CLK_TCK)))

rss_kb () { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
cpu_ms () { awk -v t="$TICK_MS" '{ print ($14 + $15) * t }' "/proc/$1/stat"; }
# spent_ms PID SECONDS: processor time of a process while it is left alone
spent_ms () {
	from=$(cpu_ms "$1")
	sleep "$2"
	echo $(($(cpu_ms "$1") - from))
}

callers () {
	start_and_apply 3 3 west
	sleep 5
	echo "callers 0: vm-2 $(rss_kb "$DAEMON_PID_2") kB"
	for nr in 500 1000 1500 2500
	do
		"$CLIENT" idle "$(conninfo 2 west)" $nr 6 >"$WORK/idle" &
		holder=$!
		wait_for 600 grep -q open "$WORK/idle" || die "idle callers"
		echo "callers $nr: vm-2 $(rss_kb "$DAEMON_PID_2") kB," \
			"$(spent_ms "$DAEMON_PID_2" 3) ms in 3 s"
		wait "$holder"
	done
}

statements () {
	start_and_apply 3 3 west
	sql 1 "CREATE TABLE load_probe
		(id INTEGER PRIMARY KEY, value INTEGER)" || die "table"
	sleep 5
	for reads in 1 0.9 0
	do
		for nr in 2000 4000 8000
		do
			from=$(cpu_ms "$DAEMON_PID_2")
			"$BENCH" load -n $nr -c 8 --reads $reads \
				"$(conninfo 2 west)" >"$WORK/load" ||
				die "load: $(cat "$WORK/load")"
			echo "statements $nr, reads $reads: vm-2" \
				"$(($(cpu_ms "$DAEMON_PID_2") - from)) ms"
		done
	done
	"$BENCH" load -n 8000 -c 8 "$(conninfo 2 west)" "host=127.0.0.1
		port=$(standin_port 1) dbname=main user=x sslmode=disable
		gssencmode=disable"
}

clusters () {
	for list in "west" "west central east" \
		"west central east a b c" "west central east a b c d e f"
	do
		start_deployment 3 3 $list
		wait_for 300 ctl status || die "no control leader"
		names=$(echo "$list" | sed 's/ /, /g')
		sed "s/^clusters = .*/clusters = $names/" \
			"$EXAMPLES/lakeshore/pools.ini" >"$WORK/pools.ini"
		ctl apply "$EXAMPLES/lakeshore/routes.ini" "$WORK/pools.ini" ||
			die "apply"
		wait_ready 2 west || die "not ready"
		sleep 5
		echo "clusters $(echo "$list" | wc -w):" \
			"vm-2 $(rss_kb "$DAEMON_PID_2") kB," \
			"$(spent_ms "$DAEMON_PID_2" 10) ms in 10 s"
		stop_all
		rm -rf "${WORK:?}"/*
	done
}

daemons () {
	for nr in 4 8 16 32 64
	do
		ANNOUNCE_TO=4
		start_deployment $nr 3 west
		wait_for 300 ctl status || die "no control leader"
		sed "s/connections = .*/connections = 200/" \
			"$EXAMPLES/lakeshore/pools.ini" >"$WORK/pools.ini"
		ctl apply "$EXAMPLES/lakeshore/routes.ini" "$WORK/pools.ini" ||
			die "apply"
		sleep 10
		leader=$(ctl status --json |
			sed -n 's/.*"leader": *\([0-9]*\).*/\1/p' | head -n 1)
		eval "pid=\$DAEMON_PID_$leader"
		other=$((leader % 3 + 1))
		eval "plain=\$DAEMON_PID_$other"
		echo "daemons $nr: leader $(rss_kb "$pid") kB," \
			"$(spent_ms "$pid" 10) ms in 10 s; follower" \
			"$(rss_kb "$plain") kB, $(spent_ms "$plain" 10) ms"
		stop_all
		rm -rf "${WORK:?}"/*
	done
}

case ${2:-} in
callers | statements | clusters | daemons) "$2" ;;
*) die "usage: measure_capacity.sh BUILD callers|statements|clusters|daemons" ;;
esac
