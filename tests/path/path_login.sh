#!/bin/sh
# Logins with passwords, and a tool with another deployment's keys. Guards
# against a caller that gets in without its password and against a stranger
# on the bus that is answered, goes uncounted or disturbs the deployment.
. "$(dirname "$0")/setup.sh"

login () {
	"$CLIENT" sql "$(conninfo "$1" west "$2") password=$3" \
		"SELECT 41 + 1" 2>"$WORK/refusal"
}
# refused N USER PASSWORD: as by PostgreSQL, and counted
refused () {
	count=$(counter "$1" comfreywheel_callers_rejected_login_total)
	login "$1" "$2" "$3" >"$WORK/rows" &&
		die "$2 got in with the password '$3'"
	grep -q 'password authentication failed' "$WORK/refusal" ||
		die "$2 with '$3': $(cat "$WORK/refusal")"
	test -s "$WORK/rows" && die "$2 got rows without a login"
	test "$(counter "$1" comfreywheel_callers_rejected_login_total)" -gt \
		"$count" || die "the refusal of $2 was not counted"
}

USERS_FILE=$WORK/users
{
	echo "grinds at dawn" | "$CTL" user dispatcher-1
	echo "walks the track" | "$CTL" user foreman-1 --iterations 8192
} >"$USERS_FILE" || die "user"
test "$(wc -l <"$USERS_FILE")" -eq 2 || die "the users file lacks a line"
grep -q 'grinds\|walks' "$USERS_FILE" && die "a password stands in the users file"

# libpq takes the password from here in the common functions, too.
PGPASSWORD="grinds at dawn"
export PGPASSWORD
start_and_apply 2 1 west
for n in 1 2
do
	test "$(login $n dispatcher-1 "'grinds at dawn'")" = 42 ||
		die "the right password: $(cat "$WORK/refusal")"
	test "$(login $n foreman-1 "'walks the track'")" = 42 ||
		die "the right password: $(cat "$WORK/refusal")"
	refused $n dispatcher-1 "'walks the track'"
	refused $n dispatcher-1 "'grinds at daw'"
	refused $n foreman-1 "'grinds at dawn'"
	refused $n railroad-1 "'grinds at dawn'"
done

# Another deployment's tool reaches neither a daemon nor the control role.
"$CTL" keygen >"$WORK/other-keys" || die "keygen"
{
	sed -e '/^public_key/d' -e '/^secret_key/d' -e '/^\[bus\]/,$d' \
		"$WORK/vm-1.conf"
	echo "[bus]"
	sed -n '/_key/p' "$WORK/other-keys"
} >"$WORK/other.conf"
keys_refused () { counter 1 comfreywheel_bus_refused_keys_total; }
version=$(ctl show --json | sed -n 's/.*"version": *\([0-9]*\).*/\1/p')
before=$(keys_refused)
"$CTL" counters --settings "$WORK/other.conf" --timeout 2s \
	--daemon "127.0.0.1:$(bus_port 1)" >"$WORK/stolen" 2>/dev/null
test $? -eq 4 || die "a tool with other keys was answered by a daemon"
test -s "$WORK/stolen" && die "a tool with other keys got counters"
test "$(keys_refused)" -gt "$before" ||
	die "the refused keys were not counted"
sed 's/^weight = .*/weight = 9/' "$EXAMPLES/lakeshore/routes.ini" \
	>"$WORK/nine.ini"
"$CTL" apply "$WORK/nine.ini" "$EXAMPLES/lakeshore/pools.ini" \
	--settings "$WORK/other.conf" --timeout 2s 2>/dev/null
test $? -eq 4 || die "a tool with other keys changed the tables"
"$CTL" drain --settings "$WORK/other.conf" --timeout 2s \
	--daemon "127.0.0.1:$(bus_port 1)" 2>/dev/null &&
	die "a tool with other keys drained a daemon"

# The deployment goes on as before.
test "$(ctl show --json | sed -n 's/.*"version": *\([0-9]*\).*/\1/p')" = \
	"$version" || die "the tables changed"
for n in 1 2
do
	wait_ready $n west || die "vm-$n does not serve"
	sql $n "INSERT INTO probe VALUES ($n)" || die "a write through vm-$n"
done
test "$(sql 1 "SELECT count(*) FROM probe")" = 2 || die "rows are missing"
echo "path_login done"
