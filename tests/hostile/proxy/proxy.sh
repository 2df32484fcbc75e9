#!/bin/sh
# One load of the program crowd against comfreywheeld, beside three databases.
# Arguments: build folder, load. A limit that the daemon does not know is left
# out of its settings.
LOAD=$2
tests=$(dirname "$0")/../..
set -u
BUILD=$1
WORK=$(mktemp -d)
. "$tests/path/lib.sh"
CROWD=$BUILD/tests/hostile/proxy/crowd
EXAMPLES=$tests/../examples
finish () {
	code=$?
	test "$code" -eq 0 || tail -n 20 "$WORK"/*.log >&2
	stop_all
	rm -rf "$WORK"
	exit "$code"
}
trap finish EXIT
trap 'exit 1' INT TERM

# add_limit SECTION KEY VALUE: where the daemon knows the key
add_limit () {
	sed "s|^\[$1\]|&\n$2 = $3|" "$WORK/vm-1.conf" >"$WORK/with-limit"
	if "$DAEMON" --check "$WORK/with-limit" >/dev/null 2>&1
	then
		mv "$WORK/with-limit" "$WORK/vm-1.conf"
	fi
}

# Few descriptors, so that a small crowd reaches the limit.
start_daemon () {
	mkdir -p "$WORK/vm-$1"
	test ! -f "$WORK/cert.pem" ||
		printf '[callers]\ntls_certificate = %s\ntls_key = %s\n' \
			"$WORK/cert.pem" "$WORK/key.pem" >>"$WORK/vm-$1.conf"
	add_limit daemon memory_budget 32MiB
	add_limit daemon startup_timeout 2s
	add_limit daemon message_timeout 2s
	add_limit daemon transaction_idle_timeout 2s
	add_limit daemon max_startups 40
	add_limit daemon max_upstreams 50
	(
		ulimit -n 160
		exec "$DAEMON" "$WORK/vm-$1.conf"
	) 2>>"$WORK/vm-$1.log" &
	PID=$!
	PIDS="$PIDS $PID"
}

CALLER_WRITE=2s
case $LOAD in
scram_*)
	PGPASSWORD="grinds at dawn"
	export PGPASSWORD
	USERS_FILE=$WORK/users
	echo "$PGPASSWORD" | "$CTL" user dispatcher-1 >"$USERS_FILE" ||
		die "user"
	;;
tls_*)
	"$CROWD" certificate "$WORK" || die "certificate"
	;;
esac
start_deployment 1 1 west
wait_for 300 ctl status || die "no control leader"
ctl apply "$EXAMPLES/lakeshore/routes.ini" "$EXAMPLES/lakeshore/pools.ini" ||
	die "apply"
wait_ready 1 west || die "writes do not pass"
"$CROWD" "$LOAD" "$PID" "$(caller_port 1)" \
	"$(admin_port 1)" "$(bus_port 1)" "$(control_port 1)" || die "$LOAD"
echo "$LOAD done"
