#!/bin/sh
# Freezes the control leader, replaces a control VM for good, loses a second
# one and wipes the disk of a third. Guards against a leader that returns and
# brings old tables back, against accepted changes or members lost with a VM,
# and against a vote under an identity whose disk is gone.
. "$(dirname "$0")/setup.sh"

routes=$EXAMPLES/lakeshore/routes.ini
pools=$EXAMPLES/lakeshore/pools.ini

field () { sed -n "s/.*\"$1\": *\\([0-9]*\\).*/\\1/p" | head -n 1; }
version () { ctl show --json | field version; }
leader () { ctl status --json | field leader; }
lines () { test "$(wc -l <"$WORK/said")" -ge "$1"; }
pid_of () { eval "echo \$DAEMON_PID_$1"; }

# change WEIGHT ID: puts tables with this weight in force
change () {
	sed "s/^weight = .*/weight = $1/" "$routes" >"$WORK/$2.ini"
	ctl apply "$WORK/$2.ini" "$pools" --request-id "$2" --timeout 30s
}

# others ID...: the control VMs of 1 to 5 that are not among these
others () {
	for n in 1 2 3 4 5
	do
		case " $* " in
		*" $n "*) ;;
		*) echo "$n" ;;
		esac
	done
}

# role ID: voter, learner or nothing, as the leader sees it
role () {
	ctl member list --json | tr -d ' \n' | tr '{}' '\n\n' |
		sed -n "s/.*\"id\":$1,.*\"role\":\"\\([a-z]*\\)\".*/\\1/p"
}
role_is () { test "$(role "$1")" = "$2"; }
leader_is_other () { now=$(leader) && test -n "$now" && test "$now" != "$1"; }

start_and_apply 5 5 west
sql 1 "CREATE TABLE landed (id INTEGER PRIMARY KEY)" || die "create"
all_vote () {
	for n in 1 2 3 4 5
	do
		role_is "$n" voter || return 1
	done
}
wait_for 200 all_vote || die "not all five control VMs vote"

# 1. The leader is frozen for 10 s while rows are written and tables change.
frozen=$(leader)
before=$(version)
set -- $(others "$frozen")
"$CLIENT" write-log "$WORK/said" 100000 5000 "$(conninfo "$1" west)" \
	"$(conninfo "$2" west)" 2>/dev/null &
writer=$!
wait_for 300 lines 50 || die "the writer made no progress"
kill -STOP "$(pid_of "$frozen")"
frozen_at=$(date +%s)
wait_for 200 leader_is_other "$frozen" || die "no leader after the freeze"
elected=$(leader)
change 5 while-frozen
code=$?
test "$code" -eq 0 || die "a change beside a frozen VM ended with $code"
after=$(version)
test "$after" -gt "$before" || die "the change did not move the version"
at_change=$(wc -l <"$WORK/said")
wait_for 300 lines $((at_change + 100)) ||
	die "the writer stopped beside the frozen leader"
elected=$(leader)
term=$(ctl status --json | field raft_term)
frozen_long () { test "$(date +%s)" -ge $((frozen_at + 10)); }
wait_for 200 frozen_long
at_thaw=$(wc -l <"$WORK/said")
kill -CONT "$(pid_of "$frozen")"
has_version () {
	ctl status --json | tr -d ' \n' | tr '{}' '\n\n' |
		grep "\"daemon\":\"vm-$1\"" |
		grep -q "\"tables_version\":$2[,}]*"
}
wait_for 200 has_version "$frozen" "$after" ||
	die "the thawed VM does not have the tables in force"
wait_for 300 lines $((at_thaw + 100)) || die "the writer stopped at the thaw"
test "$(version)" = "$after" || die "the old version came back"
ctl show | grep -q 'weight = 5' || die "the old tables came back"
test "$(leader)" = "$elected" &&
	test "$(ctl status --json | field raft_term)" = "$term" ||
	die "the thawed VM disturbed the leader: $elected in term $term, now $(leader)"
echo "vm-$frozen was frozen, vm-$elected leads term $term, tables $after"
kill "$writer"
wait "$writer" 2>/dev/null
"$CLIENT" check-log "$WORK/said" "$(conninfo "$1" west)" || die "check-log"

# 2. One VM dies for good and is replaced; then a second one dies.
set -- $(others 1 "$elected")
dead=$1
kill -9 "$(pid_of "$dead")"
write_settings 6 6 gl-central
start_daemon 6
ctl member add 6 "127.0.0.1:$(control_port 6)" || die "member add"
joined () { ctl member promote 6 && role_is 6 voter; }
wait_for 100 joined || die "the new VM does not vote"
ctl member remove "$dead" || die "member remove"
second=$2
kill -9 "$(pid_of "$second")"
echo "vm-$dead replaced by vm-6, vm-$second killed"
wait_for 300 leader || die "no leader after the second VM"
test "$(version)" = "$after" || die "the tables were lost with the VMs"
change 6 after-second
code=$?
test "$code" -eq 0 || die "a change after the second VM ended with $code"
last=$(version)
test "$last" -gt "$after" || die "the change did not move the version"
ctl audit >"$WORK/audit" || die "audit"
grep -q while-frozen "$WORK/audit" || die "the audit trail was lost"
grep -q after-second "$WORK/audit" || die "the last change is not in the audit trail"
test -z "$(role "$dead")" || die "the removed VM is still a member"
test "$(role 6)" = voter || die "the new VM is no voter"
ctl member list | grep -q "vm-$dead" || die "the member list lost a daemon"

# 3. The second VM returns with an empty disk under its old identity.
rm -rf "$WORK/vm-$second"
: >"$WORK/vm-$second.log"
start_daemon "$second"
warned () { grep -q 'data folder is empty but the group exists' "$WORK/vm-$second.log"; }
wait_for 200 warned || die "a wiped VM says nothing about its disk"
sleep 2
grep -q "control VM $second \(leads\|founds\)" "$WORK/vm-$second.log" &&
	die "a wiped VM leads under its old identity"
test "$(version)" = "$last" || die "a wiped VM changed the tables"

# Two of the four other voters stop, so a leader would need the wiped VM's vote.
set -- $(others "$dead" "$second" 1)
for n in "$1" "$2"
do
	kill -9 "$(pid_of "$n")"
done
no_leader () { ! ctl status --timeout 1s; }
wait_for 100 no_leader || die "a minority keeps its leader"
sleep 2
for round in 1 2 3
do
	no_leader 2>/dev/null >&2 || die "a wiped VM voted under its old identity"
done
start_daemon "$1"
wait_for 300 ctl status || die "no leader after the minority is repaired"
test "$(version)" = "$last" || die "the tables were lost"
echo "path_control done"
