#include "control_core.h"
#include "position_query.h"
#include "test_main.h"

#include <string.h>

/* The fail-over driver in virtual time; what it calls is recorded here. */

#define ERRANDS 8

struct pg_errand {
	char *host;
	char *first;
	struct control_replica *replica;
	pg_errand_done done;
	bool open;
};

static int64_t now_us;
static struct pg_errand errands[ERRANDS];
static Wire__FailoverStep *proposed;
static unsigned fences;

int64_t control_now(void)
{
	return now_us;
}

bool control_confirmed(const struct control *c)
{
	return true;
}

struct control_facts control_facts(const struct control *c)
{
	return (struct control_facts){ &c->state, c->daemons, &c->leases,
				       now_us };
}

void control_regrant(struct control *c)
{
}

void control_send_fences(struct control *c, const struct control_run *run)
{
	fences++;
}

/* Applied at once, as by a group of one. */
bool control_propose(struct control *c, const Wire__LogEntry *entry,
		     uint64_t *index, GError **error)
{
	uint8_t bytes[1024];
	size_t len = wire__log_entry__pack(entry, bytes);
	uint8_t step[1024];

	control_state_apply(&c->state, bytes, len, NULL);
	if (entry->body_case == WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND)
		control_failover_found(c, entry->cluster_found);
	if (entry->body_case != WIRE__LOG_ENTRY__BODY_FAILOVER)
		return true;
	if (proposed)
		wire__failover_step__free_unpacked(proposed, NULL);
	len = wire__failover_step__pack(entry->failover, step);
	proposed = wire__failover_step__unpack(NULL, len, step);
	control_failover_applied(c, entry->failover);
	return true;
}

struct pg_errand *pg_errand_start(struct control *c, const char *host,
				  uint16_t port, const char *const *statements,
				  double timeout_s, pg_errand_done done,
				  void *data)
{
	struct pg_errand *e = errands;

	while (e->open)
		e++;
	ck_assert(e < errands + ERRANDS);
	g_free(e->host);
	g_free(e->first);
	*e = (struct pg_errand){ g_strdup(host), g_strdup(statements[0]), data,
				 done, true };
	return e;
}

void pg_errand_cancel(struct pg_errand *e)
{
	if (e)
		e->open = false;
}

static struct pg_errand *errand(const char *replica)
{
	struct pg_errand *e;

	for (e = errands; e < errands + ERRANDS; e++)
		if (e->open && !strcmp(e->replica->name, replica))
			return e;
	return NULL;
}

static void answer(const char *replica, bool in_recovery, uint32_t term,
		   uint64_t lsn)
{
	struct pg_position pos = { in_recovery, term, lsn };
	struct pg_errand *e = errand(replica);

	ck_assert_ptr_nonnull(e);
	e->open = false;
	e->done(true, &pos, e->replica);
}

static struct control *control_new(void)
{
	struct control *c = g_new0(struct control, 1);
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__MemberChange change = WIRE__MEMBER_CHANGE__INIT;
	Wire__Member member = WIRE__MEMBER__INIT;
	Wire__ClusterFound found = WIRE__CLUSTER_FOUND__INIT;
	char name[] = "vm-1";

	now_us = 100000000;
	fences = 0;
	control_state_init(&c->state);
	lease_table_init(&c->leases, LEASE_DURATION_US);
	lease_table_become_leader(&c->leases, 0);
	c->daemons = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   control_daemon_free);
	c->runs = g_ptr_array_new_with_free_func(control_run_free);
	c->found_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	control_failover_load(c);
	member.daemon = name;
	change.member = &member;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &change;
	for (; name[3] <= '3'; name[3]++)
		control_propose(c, &entry, NULL, NULL);
	found.service = "grindplan-db";
	found.cluster = "west";
	found.primary = "west-1";
	found.term = 1;
	entry.body_case = WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND;
	entry.cluster_found = &found;
	control_propose(c, &entry, NULL, NULL);
	return c;
}

static void control_free(struct control *c)
{
	struct pg_errand *e;

	control_failover_unload(c);
	g_ptr_array_free(c->runs, TRUE);
	g_hash_table_destroy(c->found_us);
	g_hash_table_destroy(c->daemons);
	control_state_finish(&c->state);
	lease_table_finish(&c->leases);
	g_free(c);
	wire__failover_step__free_unpacked(proposed, NULL);
	proposed = NULL;
	for (e = errands; e < errands + ERRANDS; e++)
		e->open = false;
}

/* Every daemon reports the cluster and its three databases. */
static void hear(struct control *c, uint32_t term, bool suspect, bool confirmed,
		 uint64_t acknowledged, uint64_t received)
{
	static uint64_t sequence;
	char address[] = "10.0.0.1";
	char upstream[] = "west-1";
	char name[] = "vm-1";
	unsigned i;

	for (; name[3] <= '3'; name[3]++) {
		Wire__Position ack = WIRE__POSITION__INIT;
		Wire__ClusterReport report = WIRE__CLUSTER_REPORT__INIT;
		Wire__ClusterReport *reports = &report;
		Wire__UpstreamReport up[3];
		Wire__UpstreamReport *ups[] = { &up[0], &up[1], &up[2] };
		Wire__Position pos[3];
		Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;
		struct control_daemon *d =
			g_hash_table_lookup(c->daemons, name);

		for (i = 0; i < 3; i++) {
			wire__upstream_report__init(&up[i]);
			wire__position__init(&pos[i]);
			upstream[5] = address[7] = (char)('1' + i);
			up[i].name = g_strdup(upstream);
			up[i].address = g_strdup(address);
			up[i].port = 5432;
			up[i].service = "grindplan-db";
			up[i].cluster = "west";
			up[i].term = pos[i].term = 1;
			up[i].primary = i == 0;
			up[i].reachable = i > 0;
			up[i].received = &pos[i];
			pos[i].lsn = i == 1 ? received : 1;
		}
		report.service = "grindplan-db";
		report.cluster = "west";
		report.term = term;
		report.suspect = suspect;
		report.fence_confirmed = confirmed;
		ack.term = 1;
		ack.lsn = acknowledged;
		report.acknowledged = &ack;
		hb.daemon = name;
		hb.sequence = ++sequence;
		hb.clusters = &reports;
		hb.n_clusters = 1;
		hb.upstreams = ups;
		hb.n_upstreams = 3;
		if (!d) {
			d = control_daemon_new(name);
			g_hash_table_insert(c->daemons, d->name, d);
		}
		ck_assert_int_eq(control_daemon_hear(d, &hb, now_us),
				 CONTROL_HEARD_NEW);
		lease_table_grant(&c->leases, name, now_us);
		for (i = 0; i < 3; i++) {
			g_free(up[i].name);
			g_free(up[i].address);
		}
	}
	control_failover_wake(c, "grindplan-db", "west");
	control_failover_tick(c);
}

static void tick(struct control *c)
{
	now_us += 10000;
	control_failover_tick(c);
}

/* A majority must go on to report the primary before the fence. */
static void wait_confirmed(struct control *c)
{
	int i;

	for (i = 0; i < 15; i++)
		tick(c);
}

static struct control_cluster *west(struct control *c)
{
	return control_state_cluster(&c->state, "grindplan-db", "west");
}

/*
 * Guards against a candidate chosen by what daemons read before the fence,
 * against questions before every daemon is fenced, against a wrong end of
 * the old term and against a replica left on the old primary.
 */
START_TEST(test_crashed_primary)
{
	struct control *c = control_new();

	hear(c, 1, true, false, 0, 900);
	ck_assert_int_eq(west(c)->step, WIRE__FAILOVER_STEP__STEP__NONE);
	wait_confirmed(c);
	ck_assert_int_eq(west(c)->step, WIRE__FAILOVER_STEP__STEP__FENCING);
	tick(c);
	ck_assert_uint_eq(fences, 1);
	ck_assert_ptr_null(errand("west-2"));
	hear(c, 1, true, true, 100, 900);
	ck_assert_str_eq(errand("west-2")->first, position_query_text);
	ck_assert_str_eq(errand("west-2")->host, "10.0.0.2");
	ck_assert_ptr_null(errand("west-1"));
	answer("west-2", true, 1, 90);
	answer("west-3", true, 1, 120);
	tick(c);
	ck_assert_str_eq(west(c)->candidate, "west-3");
	tick(c);
	ck_assert_str_eq(errand("west-3")->first, "SELECT pg_promote(true, 5)");
	answer("west-3", false, 2, 130);
	tick(c);
	ck_assert_int_eq(west(c)->step, WIRE__FAILOVER_STEP__STEP__DONE);
	ck_assert_str_eq(west(c)->primary, "west-3");
	ck_assert_uint_eq(west(c)->term, 2);
	ck_assert_uint_eq(proposed->switch_lsn, 120);
	tick(c);
	ck_assert_str_eq(errand("west-2")->first,
			 "ALTER SYSTEM SET primary_conninfo = "
			 "'host=10.0.0.3 port=5432'");
	control_free(c);
}
END_TEST

/*
 * Guards against a fail-over that a new leader starts over or forgets, and
 * against one whose replicas lost their receiver with the primary.
 */
START_TEST(test_new_leader_goes_on)
{
	struct control *c = control_new();

	hear(c, 1, true, true, 100, 100);
	wait_confirmed(c);
	tick(c);
	answer("west-2", true, 0, 100);
	answer("west-3", true, 0, 90);
	tick(c);
	ck_assert_str_eq(west(c)->candidate, "west-2");
	control_failover_load(c);
	hear(c, 1, true, true, 100, 100);
	tick(c);
	now_us += 500000;
	tick(c);
	ck_assert_str_eq(errand("west-2")->first, "SELECT pg_promote(true, 5)");
	answer("west-2", false, 2, 150);
	tick(c);
	ck_assert_str_eq(west(c)->primary, "west-2");
	/* Only the position after the promotion is known to this leader. */
	ck_assert_uint_eq(proposed->switch_lsn, 150);
	/* A new leader can still point the replicas at the new primary. */
	control_failover_load(c);
	hear(c, 2, false, false, 0, 100);
	tick(c);
	ck_assert_str_eq(errand("west-3")->first,
			 "ALTER SYSTEM SET primary_conninfo = "
			 "'host=10.0.0.2 port=5432'");
	control_free(c);
}
END_TEST

/*
 * Guards against a fail-over that an outdated report starts, or an entry that
 * did not follow from the recorded step and changed nothing.
 */
START_TEST(test_healthy_primary)
{
	struct control *c = control_new();
	Wire__FailoverStep stray = WIRE__FAILOVER_STEP__INIT;
	const struct control_run *run;

	hear(c, 1, false, false, 0, 1);
	hear(c, 7, true, true, 0, 1);
	tick(c);
	ck_assert_int_eq(west(c)->step, WIRE__FAILOVER_STEP__STEP__NONE);
	ck_assert_uint_eq(fences, 0);
	stray.service = "grindplan-db";
	stray.cluster = "west";
	stray.step = WIRE__FAILOVER_STEP__STEP__PROMOTING;
	control_failover_applied(c, &stray);
	run = c->runs->pdata[0];
	ck_assert_int_eq(run->fo.step, FAILOVER_NONE);
	control_free(c);
}
END_TEST

TEST_MAIN("control_failover", test_crashed_primary, test_new_leader_goes_on,
	  test_healthy_primary)
