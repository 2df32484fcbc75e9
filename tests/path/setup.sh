# Common start of the path tests: a work folder and a clean end.
set -u
BUILD=$1
here=$(dirname "$0")
WORK=$(mktemp -d)
. "$here/lib.sh"
finish () {
	code=$?
	test "$code" -eq 0 || {
		for f in "$WORK"/*.log
		do
			echo "== $f" >&2
			tail -n 40 "$f" >&2
		done
	}
	stop_all
	rm -rf "$WORK"
	exit "$code"
}
trap finish EXIT
trap 'exit 1' INT TERM
EXAMPLES=$here/../../examples

# start_and_apply NR_DAEMONS NR_CONTROL CLUSTERS...: until writes pass
start_and_apply () {
	start_deployment "$@"
	wait_for 300 ctl status || die "no control leader"
	ctl apply "$EXAMPLES/lakeshore/routes.ini" \
		"$EXAMPLES/lakeshore/pools.ini" || die "apply"
	for n in $(seq 1 "$1")
	do
		wait_ready "$n" "$3" || die "writes do not pass through vm-$n"
	done
}

sql () {
	"$CLIENT" sql "$(conninfo "$1" west)" "$2"
}

# counter N NAME: value of a counter of daemon N
counter () {
	"$CTL" counters --settings "$WORK/vm-$1.conf" \
		--daemon "127.0.0.1:$(bus_port "$1")" |
		awk -v n="$2:" '$1 == n { print $2 }'
}
