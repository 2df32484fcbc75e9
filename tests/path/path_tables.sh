#!/bin/sh
# Changes of the tables on real processes: refusals, races, resends, restarts.
. "$(dirname "$0")/setup.sh"

start_and_apply 3 3 west
version () { ctl show --json | sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | head -n 1; }
first=$(version)
routes=$EXAMPLES/lakeshore/routes.ini
pools=$EXAMPLES/lakeshore/pools.ini

sed 's/^pool = .*/pool = missing/' "$routes" >"$WORK/bad.ini"
ctl apply "$WORK/bad.ini" "$pools" 2>"$WORK/refusal" &&
	die "a route without a pool was accepted"
grep -q 'bad.ini:[0-9]*:' "$WORK/refusal" || die "no file and line: $(cat "$WORK/refusal")"
test "$(version)" = "$first" || die "a refused change moved the version"

sed 's/^weight = .*/weight = 7/' "$routes" >"$WORK/seven.ini"
sed 's/^weight = .*/weight = 9/' "$routes" >"$WORK/nine.ini"
ctl apply "$WORK/seven.ini" "$pools" --base-version "$first" \
	--request-id change-a || die "first change"
ctl apply "$WORK/nine.ini" "$pools" --base-version "$first" \
	--request-id change-b 2>/dev/null
test $? -eq 3 || die "the second of two equal versions was no conflict"
second=$(version)
ctl apply "$WORK/seven.ini" "$pools" --base-version "$first" \
	--request-id change-a || die "a resend did not get the first verdict"
test "$(version)" = "$second" || die "a resend was applied twice"

# All daemons restart; the change and the audit trail survive.
kill_and_wait "$DAEMON_PID_1" "$DAEMON_PID_2" "$DAEMON_PID_3"
for n in 1 2 3
do
	start_daemon "$n"
done
wait_for 300 ctl status || die "no leader after the restart"
wait_ready 1 west || die "writes do not pass after the restart"
test "$(version)" = "$second" || die "the version after the restart is $(version), not $second"
ctl show | grep -q 'weight = 7' || die "the change was lost"
ctl audit | grep -q change-a || die "the audit trail was lost"
ctl audit | grep -q change-b || die "the conflict is not in the audit trail"
echo "path_tables done"
