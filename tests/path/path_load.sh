#!/bin/sh
# Guards against a load generator that loses statements or miscounts errors,
# and against a daemon that fails statements under plain load.
. "$(dirname "$0")/setup.sh"
BENCH=$BUILD/comfreywheel-bench/comfreywheel-bench

start_and_apply 3 3 west
a=$(conninfo 1 west)
direct="host=127.0.0.1 port=$(standin_port 1) dbname=west-1 user=proxy"
direct="$direct sslmode=disable gssencmode=disable"
"$CLIENT" sql "$a" "CREATE TABLE IF NOT EXISTS load_probe
	(id INTEGER PRIMARY KEY, value INTEGER)" || die "table"

# In a closed loop and at a rate, through a daemon and directly.
"$BENCH" load -n 2000 -c 8 "$a" "$direct" >"$WORK/closed" || die "closed loop"
cat "$WORK/closed"
test "$(grep -c ' 2000 answered, 0 failed' "$WORK/closed")" -eq 2 ||
	die "a statement of the closed loop failed or was lost"
"$BENCH" load -n 1000 -c 8 -r 500 "$a" >"$WORK/rate" || die "rate"
cat "$WORK/rate"
grep -q ' 1000 answered, 0 failed' "$WORK/rate" ||
	die "a statement at a rate failed or was lost"

# Errors are counted by SQLSTATE, and a lost connection as such.
"$BENCH" load -n 200 -c 4 --reads 1 --read-sql "SELECT * FROM missing" "$a" \
	>"$WORK/errors"
grep -qx '  42P01: 200' "$WORK/errors" || die "$(cat "$WORK/errors")"
"$BENCH" load -n 50 -c 2 "host=127.0.0.1 port=1 sslmode=disable" \
	>"$WORK/refused" && die "a target without answers passed"
grep -qx '  connection: 50' "$WORK/refused" || die "$(cat "$WORK/refused")"
echo "path_load done"
