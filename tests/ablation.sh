#!/bin/sh
# Plays days with single mechanisms switched off and prints what each is worth.
#
#	ablation.sh BENCH SITE "DAYS" "SEEDS" [NAME...]
#
# BENCH is the users' bench, SITE a site file, DAYS names of its days, SEEDS
# seeds of varied days (0: as the file has it), NAME an entry of the list below,
# all without any. Works on clones of the committed tree under $TMPDIR. Prints
# for each entry the mean worth with and without the mechanism on the same days
# and seeds, and how many plays were better with it.
#
# Leases, positions, fencing and the verification of a primary are left out:
# without them rules are broken, whatever a day is worth.
set -eu

# name%file%pattern%replacement, for sed; lines where the pattern is found
list() {
	cat <<'LIST'
home daemons%include/home_policy.h%HOME_DIRECT_CONNECTIONS 8%HOME_DIRECT_CONNECTIONS 1
few homes%coordination/home_policy.c%divide_round_up(nr_daemons, nr_services))%nr_daemons)
send windows%coordination/send_window.c%return (double)(in_flight + 1) <= w->size;%return true;
urgency: in time first%coordination/urgency.c%if (a_in_time != urgency_meets_deadline(b))%if (0)
urgency: priority%coordination/urgency.c%if (a->priority != b->priority)%if (0)
urgency: cheaper first%coordination/urgency.c%if (is_cheaper(a, b) || is_cheaper(b, a))%if (0 \&\& is_cheaper(a, b))
urgency: least time left%coordination/urgency.c%return a->remaining_us < b->remaining_us;%return false;
wait from the first attempt%entry/request.c%if (!s->asked_us ||%if (1 ||%
costs without queueing%entry/request.c%else if (!send_window_is_queueing(%else if (1 || send_window_is_queueing(%
early refusal%include/wait_limit.h%WAIT_SATURATED_PERCENT 20%WAIT_SATURATED_PERCENT 100
first in line waits longer%include/wait_limit.h%WAIT_FIRST_IN_LINE_PERCENT 50%WAIT_FIRST_IN_LINE_PERCENT 20
relays to peers%coordination/relay_policy.c%return nr > 0 || nr_failing > 0;%return false;
refusal when cut off%entry/peer_relay.c%if (watch_leader_is_unreachable(%if (0 \&\& watch_leader_is_unreachable(%
lost answers%coordination/answer_time.c%return now_us - sent_us > overdue_us \&\&%return 0 \&\&%
probe of a silent upstream%entry/upstream.c%if (link->outstanding->len \&\& waited_us > SILENCE_PROBE_AFTER_US%if (0 \&\& waited_us > SILENCE_PROBE_AFTER_US%
primary's price in placement%include/placement.h%PRIMARY_COST_PERCENT 300%PRIMARY_COST_PERCENT 100
price of a zone%include/placement.h%CROSS_ZONE_COST_US (4 \* 1000ll)%CROSS_ZONE_COST_US 0ll
price of a new connection%include/placement.h%CONNECT_COST_US (12 \* 1000ll)%CONNECT_COST_US 0ll
pause after BEHIND%entry/dispatch.c%BEHIND_PAUSE_US (40 \* 1000ll)%BEHIND_PAUSE_US 0ll
pause after BUSY%entry/request.c%BUSY_PAUSE_US (15 \* 1000ll)%BUSY_PAUSE_US 1000ll
lag learned from answers%entry/dispatch.c%LAG_VALID_US (200 \* 1000ll)%LAG_VALID_US 0ll
one log-in at a time%entry/dispatch.c%if (!has_opening_link(candidates\[chosen\]))%if (1 || has_opening_link(candidates[chosen]))
spare connections%entry/upstream.c%MAX(connection_share(upstream) / 2, 1) : 0%connection_share(upstream) : 0
own search for the primary%entry/upstream.c%if (!upstream || upstream->failing_us)%if (!upstream)
handover of a strained primary%control/promotions.c%if (!promotion_all_replicas_lag(view)) {%if (1) {
immediate report of strain%entry/upstream.c%if (strained \&\& !svc->strained)%if (0)
former leader first%coordination/raft_election.c%raft->election_deadline_us = raft->now_us;%;
leader without disk%control/peers.c%	note_identity(node, join->id);%	if (0) note_identity(node, join->id);
short connection attempts%include/channel.h%CONNECT_TIMEOUT_US (50 \* 1000ll)%CONNECT_TIMEOUT_US (400 * 1000ll)
short connection time-out%include/channel.h%USER_TIMEOUT_MS 600%USER_TIMEOUT_MS 1500
LIST
}

usage() {
	sed -n '2,/^set/{/^set/d;s/^# \{0,1\}//;p;}' "$0" >&2
	exit 2
}

# play DIR REPORTS WHY: plays all days and seeds with the tree DIR
play() {
	mkdir -p "$2"
	export bench site reports="$2" why="$3"
	(cd "$1" && "$bench" build >/dev/null)
	for seed in $seeds; do
		for day in $days; do
			printf '%s %s\n' "$day" "$seed"
		done
	done | (cd "$1" && xargs -P "$jobs" -L1 sh -c '
		vary=
		test "$1" = 0 || vary="--vary --seed $1"
		"$bench" run "$site" "$0" $vary --jobs 1 --why "$why" \
			--report "$reports/$0-$1" >/dev/null 2>&1 ||
			echo "$0 $1: not played" >&2')
}

# worths REPORTS: a line "day-seed worth" for each play
worths() {
	for file in "$1"/*; do
		printf '%s ' "${file##*/}"
		sed -n 's/^ *"G": *\([-0-9.]*\),*$/\1/p' "$file" | head -n 1
	done
}

# compare NAME WITH WITHOUT
compare() {
	worths "$2" >"$work/with"
	worths "$3" >"$work/without"
	join "$work/with" "$work/without" | awk -v name="$1" '
		{ n++; a += $2; b += $3; better += $2 > $3; d = $2 - $3; s += d * d }
		END {
			if (!n) exit 1
			m = (a - b) / n
			printf "| %s | %.4f | %.4f | %+.4f | %.4f | %d of %d |\n",
				name, a / n, b / n, m, sqrt(s / n - m * m), better, n
		}'
}

# without NAME FILE PATTERN REPLACEMENT
without() {
	dir=$work/tree
	rm -rf "$dir" "$work/out"
	git clone -q "$tree" "$dir"
	sed -i "s~$3~$4~" "$dir/$2"
	if git -C "$dir" diff --quiet; then
		echo "$1: the pattern is not in $2" >&2
		return 1
	fi
	play "$dir" "$work/out" "trial: ablation, without $1"
	compare "$1" "$work/all" "$work/out"
	mkdir -p "$tree/journal/blobs"
	cp -n "$dir"/journal/*.json "$tree/journal/"
	cp -n "$dir"/journal/blobs/* "$tree/journal/blobs/"
}

test $# -ge 4 || usage
bench=$1 site=$2 days=$3 seeds=$4
shift 4
jobs=${JOBS:-4}
tree=$(git rev-parse --show-toplevel)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

git clone -q "$tree" "$work/base"
play "$work/base" "$work/all" "trial: ablation, everything on"
echo "| mechanism | with | without | worth | spread | better with |"
echo "| --- | --- | --- | --- | --- | --- |"
list | while IFS='%' read -r name file pattern replacement; do
	test $# -eq 0 || printf '%s\n' "$@" | grep -qxF "$name" || continue
	without "$name" "$file" "$pattern" "$replacement" </dev/null
done
