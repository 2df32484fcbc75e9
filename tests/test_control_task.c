#include "control_view.h"
#include "pg_frame.h"
#include "test_main.h"

#include <string.h>

#define SECOND 1000000ll
#define STALE_US (4 * SECOND)
#define LEASE_US 1200000ll
#define LINGER_US (2 * SECOND)

static const char routes[] = "[route dispatchers]\n"
			     "service = grindplan-db\n"
			     "callers = dispatcher-*\n"
			     "tenant = lakeshore\n"
			     "weight = 4\n"
			     "pool = grindplan\n";
static const char pools[] = "[pool grindplan]\n"
			    "service = grindplan-db\n"
			    "clusters = west, east\n"
			    "slots = 2\n"
			    "connections = 16\n"
			    "max_connections = 16\n"
			    "ack_replicas = 2\n"
			    "max_replica_lag = 10s\n"
			    "max_queue = 200\n"
			    "request_timeout = 5s\n";

/* The leader's knowledge, filled by hand. */
struct fixture {
	struct control_state state;
	GHashTable *daemons;
	struct lease_table leases;
	struct control_facts facts;
};

static void apply(struct fixture *f, Wire__LogEntry *entry)
{
	uint8_t bytes[2048];
	size_t len = wire__log_entry__pack(entry, bytes);

	control_state_apply(&f->state, bytes, len, NULL);
}

static void add_member(struct fixture *f, const char *name)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__MemberChange change = WIRE__MEMBER_CHANGE__INIT;
	Wire__Member member = WIRE__MEMBER__INIT;

	member.daemon = (char *)name;
	change.member = &member;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &change;
	apply(f, &entry);
}

static void add_tables(struct fixture *f)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__TablesChange change = WIRE__TABLES_CHANGE__INIT;

	change.request_id = "first";
	change.routes = (char *)routes;
	change.pools = (char *)pools;
	entry.body_case = WIRE__LOG_ENTRY__BODY_TABLES;
	entry.tables = &change;
	apply(f, &entry);
	ck_assert_uint_eq(f->state.tables.version, 1);
}

static void fixture_init(struct fixture *f)
{
	control_state_init(&f->state);
	f->daemons = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   control_daemon_free);
	lease_table_init(&f->leases, LEASE_US);
	lease_table_become_leader(&f->leases, 0);
	f->facts = (struct control_facts){
		.state = &f->state,
		.daemons = f->daemons,
		.leases = &f->leases,
	};
	add_tables(f);
}

static void fixture_finish(struct fixture *f)
{
	control_state_finish(&f->state);
	g_hash_table_destroy(f->daemons);
	lease_table_finish(&f->leases);
}

static struct control_daemon *daemon_of(struct fixture *f, const char *name)
{
	struct control_daemon *d = g_hash_table_lookup(f->daemons, name);

	if (!d) {
		d = control_daemon_new(name);
		g_hash_table_insert(f->daemons, d->name, d);
	}
	return d;
}

/* Takes a heartbeat with at most one cluster and one upstream, and grants. */
static void hear(struct fixture *f, const char *name, uint64_t version,
		 Wire__ClusterReport *cluster, Wire__UpstreamReport *upstream)
{
	static uint64_t sequence;
	Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;
	struct control_daemon *d = daemon_of(f, name);

	hb.daemon = (char *)name;
	hb.sequence = ++sequence;
	hb.tables_version = version;
	hb.clusters = &cluster;
	hb.n_clusters = cluster != NULL;
	hb.upstreams = &upstream;
	hb.n_upstreams = upstream != NULL;
	ck_assert_int_eq(control_daemon_hear(d, &hb, f->facts.now_us),
			 CONTROL_HEARD_NEW);
	d->granted_us = f->facts.now_us;
	lease_table_grant(&f->leases, name, f->facts.now_us);
}

/* Guards against a message that changes on its way over the wire. */
START_TEST(test_wire_round_trip)
{
	uint8_t data[] = { 1, 2, 3 };
	struct raft_entry e[] = {
		{ 7, 3, RAFT_ENTRY_DATA, data, 3 },
		{ 8, 4, RAFT_ENTRY_NOOP, NULL, 0 },
	};
	struct raft_message msg = {
		.type = RAFT_APPEND,
		.from = 1,
		.to = 2,
		.term = 4,
		.log_index = 6,
		.log_term = 3,
		.commit = 5,
		.accepted = true,
		.match_index = 9,
		.round = 11,
		.entries = e,
		.nr_entries = 2,
		.snapshot = data,
		.snapshot_len = 2,
		.snapshot_offset = 12,
		.snapshot_done = true,
	};
	struct raft_message back;
	struct raft_wire wire;
	unsigned i;

	raft_wire_init(&wire, &msg);
	ck_assert(raft_wire_read(&wire.message, &back));
	ck_assert_uint_eq(back.nr_entries, 2);
	for (i = 0; i < 2; i++) {
		ck_assert_uint_eq(back.entries[i].index, e[i].index);
		ck_assert_uint_eq(back.entries[i].term, e[i].term);
		ck_assert_int_eq(back.entries[i].kind, e[i].kind);
		ck_assert_uint_eq(back.entries[i].len, e[i].len);
		ck_assert_ptr_eq(back.entries[i].data, e[i].data);
	}
	g_free(back.entries);
	back.entries = e;
	ck_assert_mem_eq(back.snapshot, data, 2);
	ck_assert_uint_eq(back.round, 11);
	ck_assert_uint_eq(back.match_index, 9);
	ck_assert_uint_eq(back.commit, 5);
	ck_assert_uint_eq(back.snapshot_offset, 12);
	ck_assert(back.accepted && back.snapshot_done);
	ck_assert(back.from == 1 && back.to == 2 && back.term == 4 &&
		  back.log_index == 6 && back.log_term == 3);
	wire.entries[1].kind = 3;
	ck_assert(!raft_wire_read(&wire.message, &back));
	wire.entries[1].kind = 0;
	wire.message.type = 8;
	ck_assert(!raft_wire_read(&wire.message, &back));
	raft_wire_finish(&wire);
}
END_TEST

/* Guards against a late heartbeat that overwrites a newer one. */
START_TEST(test_late_heartbeat)
{
	struct control_daemon *d = control_daemon_new("vm-1");
	Wire__Heartbeat hb = WIRE__HEARTBEAT__INIT;

	hb.daemon = "vm-1";
	hb.incarnation = 5;
	hb.sequence = 9;
	ck_assert_int_eq(control_daemon_hear(d, &hb, 100), CONTROL_HEARD_NEW);
	ck_assert_int_eq(control_daemon_hear(d, &hb, 200), CONTROL_HEARD_OLD);
	hb.sequence = 8;
	ck_assert_int_eq(control_daemon_hear(d, &hb, 200), CONTROL_HEARD_OLD);
	ck_assert_int_eq(d->received_us, 100);
	/* A restarted daemon counts from the start again. */
	hb.incarnation = 6;
	hb.sequence = 1;
	ck_assert_int_eq(control_daemon_hear(d, &hb, 200), CONTROL_HEARD_NEW);
	control_daemon_free(d);
}
END_TEST

/*
 * Guards against "in force" while a member may still serve older tables: one
 * that reports them, one that is silent for a short time, and one that only
 * an earlier leader heard.
 */
START_TEST(test_in_force)
{
	struct fixture f;

	fixture_init(&f);
	add_member(&f, "vm-1");
	add_member(&f, "vm-2");
	f.facts.now_us = SECOND;
	hear(&f, "vm-1", 1, NULL, NULL);
	ck_assert(!control_view_in_force(&f.facts, 1, STALE_US));
	hear(&f, "vm-2", 0, NULL, NULL);
	ck_assert(!control_view_in_force(&f.facts, 1, STALE_US));
	f.facts.now_us = SECOND + STALE_US;
	ck_assert(!control_view_in_force(&f.facts, 1, STALE_US));
	/* Clocks may differ in rate by 2%. */
	f.facts.now_us = SECOND + STALE_US + STALE_US / 50;
	ck_assert(!control_view_in_force(&f.facts, 1, STALE_US));
	f.facts.now_us++;
	ck_assert(control_view_in_force(&f.facts, 1, STALE_US));
	hear(&f, "vm-2", 0, NULL, NULL);
	ck_assert(!control_view_in_force(&f.facts, 1, STALE_US));
	hear(&f, "vm-2", 1, NULL, NULL);
	ck_assert(control_view_in_force(&f.facts, 1, STALE_US));
	ck_assert(!control_view_in_force(&f.facts, 2, STALE_US));
	/* A new leader does not know what the earlier one granted. */
	lease_table_become_leader(&f.leases, f.facts.now_us);
	g_hash_table_remove(f.daemons, "vm-1");
	ck_assert(!control_view_in_force(&f.facts, 1, STALE_US));
	fixture_finish(&f);
}
END_TEST

/*
 * Guards against a suspicion or confirmation of another term that counts,
 * and against a member that is left out because nobody heard it.
 */
START_TEST(test_failover_view)
{
	Wire__ClusterReport report = WIRE__CLUSTER_REPORT__INIT;
	Wire__Position ack = WIRE__POSITION__INIT;
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct failover_daemon));
	const struct failover_daemon *d;
	struct fixture f;

	fixture_init(&f);
	add_member(&f, "vm-1");
	add_member(&f, "vm-2");
	f.facts.now_us = 10 * SECOND;
	report.service = "grindplan-db";
	report.cluster = "west";
	report.term = 3;
	report.suspect = report.fence_confirmed = true;
	ack.term = 3;
	ack.lsn = 77;
	report.acknowledged = &ack;
	hear(&f, "vm-1", 1, &report, NULL);
	control_view_daemons(&f.facts, "grindplan-db", "west", 3, out);
	ck_assert_uint_eq(out->len, 2);
	d = (void *)out->data;
	ck_assert(d[0].live && d[0].uses_cluster && d[0].suspects);
	ck_assert(d[0].fence_confirmed && d[0].acknowledged.lsn == 77);
	ck_assert(!d[1].live && !d[1].uses_cluster && !d[1].fence_confirmed);
	ck_assert_int_ge(d[1].lease_expires_us,
			 lease_table_earlier_leases_end_us(&f.leases));
	g_array_set_size(out, 0);
	control_view_daemons(&f.facts, "grindplan-db", "west", 4, out);
	d = (void *)out->data;
	ck_assert(!d[0].suspects && !d[0].fence_confirmed);
	ck_assert_uint_eq(d[0].acknowledged.term, 0);
	ck_assert_uint_eq(control_view_ack_replicas(&f.state.tables,
						    "grindplan-db", "west"),
			  2);
	ck_assert_uint_eq(control_view_ack_replicas(&f.state.tables,
						    "grindplan-db", "north"),
			  1);
	g_array_free(out, TRUE);
	fixture_finish(&f);
}
END_TEST

static Wire__UpstreamReport upstream(const char *name, bool primary,
				     uint32_t term)
{
	Wire__UpstreamReport r = WIRE__UPSTREAM_REPORT__INIT;

	r.name = (char *)name;
	r.service = "grindplan-db";
	r.cluster = "west";
	r.reachable = true;
	r.primary = primary;
	r.term = term;
	return r;
}

static const Wire__UpstreamReport *found(struct fixture *f, GHashTable **table)
{
	*table = control_view_upstreams(&f->facts, "grindplan-db", "west");
	return control_view_found(*table);
}

/* Guards against recording a former primary, or one of two. */
START_TEST(test_cluster_found)
{
	Wire__UpstreamReport a = upstream("west-1", true, 1);
	Wire__UpstreamReport b = upstream("west-2", false, 1);
	Wire__UpstreamReport east = upstream("east-1", true, 9);
	struct fixture f;
	GHashTable *table;

	fixture_init(&f);
	east.cluster = "east";
	hear(&f, "vm-1", 1, NULL, &a);
	hear(&f, "vm-2", 1, NULL, &b);
	hear(&f, "vm-3", 1, NULL, &east);
	ck_assert_str_eq(found(&f, &table)->name, "west-1");
	ck_assert_uint_eq(g_hash_table_size(table), 2);
	g_hash_table_destroy(table);
	/* A replica of a later term: the primary of that term is missing. */
	b.term = 2;
	hear(&f, "vm-2", 1, NULL, &b);
	ck_assert_ptr_null(found(&f, &table));
	g_hash_table_destroy(table);
	b.primary = true;
	hear(&f, "vm-2", 1, NULL, &b);
	ck_assert_str_eq(found(&f, &table)->name, "west-2");
	g_hash_table_destroy(table);
	a.term = 2;
	hear(&f, "vm-1", 1, NULL, &a);
	ck_assert_ptr_null(found(&f, &table));
	g_hash_table_destroy(table);
	/* A daemon that cannot reach it does not hide it from the others. */
	a = upstream("west-2", true, 2);
	a.reachable = false;
	f.facts.now_us++;
	hear(&f, "vm-1", 1, NULL, &a);
	ck_assert_str_eq(found(&f, &table)->name, "west-2");
	g_hash_table_destroy(table);
	b.reachable = false;
	hear(&f, "vm-1", 1, NULL, &a);
	hear(&f, "vm-2", 1, NULL, &b);
	ck_assert_ptr_null(found(&f, &table));
	g_hash_table_destroy(table);
	fixture_finish(&f);
}
END_TEST

/* Guards against counting a replaced primary among the replicas. */
START_TEST(test_replicates)
{
	struct control_cluster cl = { .primary = "west-2", .term = 2 };
	Wire__UpstreamReport r = upstream("west-1", true, 1);

	ck_assert(!control_view_replicates(&cl, &r));
	r.primary = false;
	ck_assert(control_view_replicates(&cl, &r));
	r.name = "west-2";
	ck_assert(!control_view_replicates(&cl, &r));
}
END_TEST

static void record_shares(struct fixture *f, const char *name);

/* Heartbeats of @nr daemons that have taken in their shares. */
static void hear_shares(struct fixture *f, unsigned nr, unsigned busy,
			unsigned wanted)
{
	Wire__UpstreamReport up;
	unsigned connections, target, i;
	char name[8];

	for (i = 1; i <= nr; i++) {
		g_snprintf(name, sizeof(name), "vm-%u", i);
		control_state_share(&f->state, name, "west-1", &connections,
				    &target);
		up = upstream("west-1", true, 1);
		up.share = MIN(connections, target);
		up.open_connections = up.share;
		up.wanted_connections = i == busy ? wanted : 2;
		hear(f, name, 1, NULL, &up);
	}
}

/*
 * Guards against a daemon that never gets a connection for its requests while
 * the others keep idle ones: eight daemons, 15 connections for them.
 */
START_TEST(test_spares_of_idle_daemons)
{
	unsigned connections, target, round, i;
	struct fixture f;
	char name[8];

	fixture_init(&f);
	f.facts.now_us = LEASE_US;
	for (i = 1; i <= 8; i++) {
		g_snprintf(name, sizeof(name), "vm-%u", i);
		add_member(&f, name);
	}
	for (round = 0; round < 8; round++) {
		hear_shares(&f, 8, 0, 0);
		record_shares(&f, "west-1");
	}
	for (i = 1; i <= 8; i++) {
		for (round = 0; round < 8; round++) {
			hear_shares(&f, 8, i, 3);
			record_shares(&f, "west-1");
		}
		g_snprintf(name, sizeof(name), "vm-%u", i);
		control_state_share(&f.state, name, "west-1", &connections,
				    &target);
		ck_assert_msg(MIN(connections, target) >= 2,
			      "%s holds %u connections", name, connections);
	}
	fixture_finish(&f);
}
END_TEST

#define DAEMONS 5
#define DELAYED 64

/* A daemon and its links to the leader, which keep the order. */
struct party {
	char name[8];
	unsigned share;
	unsigned open;
	unsigned wanted;
	int64_t dead_us;
	int delay_us;
	struct {
		int64_t at_us;
		Wire__UpstreamReport report;
		unsigned grant;
		bool to_leader;
	} link[DELAYED];
	unsigned nr;
};

static void record_shares(struct fixture *f, const char *name)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct control_share));
	Wire__UpstreamReport up = upstream(name, true, 1);
	unsigned i;

	control_view_shares(&f->facts, &up, LINGER_US, out);
	for (i = 0; i < out->len; i++) {
		struct control_share *s =
			&g_array_index(out, struct control_share, i);
		Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
		Wire__ShareChange change = WIRE__SHARE_CHANGE__INIT;

		change.daemon = s->daemon;
		change.upstream = (char *)name;
		change.connections = s->share.connections;
		change.target = s->share.target;
		entry.body_case = WIRE__LOG_ENTRY__BODY_SHARE;
		entry.share = &change;
		apply(f, &entry);
		g_free(s->daemon);
		/* 16 in the table, one of them kept for the control leader. */
		ck_assert_uint_le(control_state_share_sum(&f->state, name), 15);
	}
	g_array_free(out, TRUE);
}

static void post(struct party *p, GRand *rand, int64_t now_us, bool to_leader,
		 unsigned grant)
{
	int64_t at_us = now_us + g_rand_int_range(rand, 1000, p->delay_us);

	if (p->nr == DELAYED)
		return;
	/* TCP keeps the order in each direction. */
	for (unsigned i = 0; i < p->nr; i++)
		if (p->link[i].to_leader == to_leader)
			at_us = MAX(at_us, p->link[i].at_us);
	p->link[p->nr].at_us = at_us;
	p->link[p->nr].to_leader = to_leader;
	p->link[p->nr].grant = grant;
	p->link[p->nr].report = upstream("west-1", true, 1);
	p->link[p->nr].report.share = p->share;
	p->link[p->nr].report.open_connections = p->open;
	p->link[p->nr].report.wanted_connections = p->wanted;
	p->nr++;
}

static void deliver(struct fixture *f, struct party *p, GRand *rand)
{
	unsigned connections, target, i = 0;

	while (i < p->nr) {
		if (p->link[i].at_us > f->facts.now_us) {
			i++;
			continue;
		}
		if (p->link[i].to_leader) {
			hear(f, p->name, 1, NULL, &p->link[i].report);
			control_state_share(&f->state, p->name, "west-1",
					    &connections, &target);
			post(p, rand, f->facts.now_us, false,
			     MIN(connections, target));
		} else if (!p->dead_us) {
			p->share = p->link[i].grant;
		}
		p->nr--;
		memmove(&p->link[i], &p->link[i + 1],
			(p->nr - i) * sizeof(p->link[0]));
	}
}

static void live(struct party *p, GRand *rand, int64_t now_us)
{
	if (p->dead_us) {
		/* The upstream's keepalive closes what is left. */
		if (now_us > p->dead_us + LINGER_US)
			p->open = 0;
		return;
	}
	if (g_rand_int_range(rand, 0, 40) == 0)
		p->wanted = (unsigned)g_rand_int_range(rand, 1, 14);
	p->open = MAX(p->open, MIN(p->share, p->wanted));
	/* Closing takes its time; nothing is opened meanwhile. */
	if (p->open > p->share && g_rand_boolean(rand))
		p->open--;
	if (g_rand_int_range(rand, 0, 4) == 0)
		post(p, rand, now_us, true, 0);
	if (g_rand_int_range(rand, 0, 600) == 0)
		p->dead_us = now_us;
}

/*
 * Guards against more open connections than the database accepts, with late
 * heartbeats and grants, changing demand and daemons that die.
 */
START_TEST(test_budget_is_never_exceeded)
{
	uint32_t seed;
	unsigned i;

	for (seed = 1; seed <= 60; seed++) {
		struct party party[DAEMONS] = { 0 };
		GRand *rand = g_rand_new_with_seed(seed);
		unsigned most = 0;
		struct fixture f;

		fixture_init(&f);
		for (i = 0; i < DAEMONS; i++) {
			g_snprintf(party[i].name, 8, "vm-%u", i);
			party[i].wanted = 8;
			/* Even seeds: grants that outlive two plans. */
			party[i].delay_us = seed % 2 ? 1200000 : 2500000;
			add_member(&f, party[i].name);
		}
		for (f.facts.now_us = 0; f.facts.now_us < 60 * SECOND;
		     f.facts.now_us += 50000) {
			unsigned open = 0;

			for (i = 0; i < DAEMONS; i++) {
				deliver(&f, &party[i], rand);
				live(&party[i], rand, f.facts.now_us);
				open += party[i].open;
			}
			if (f.facts.now_us % SECOND == 0)
				record_shares(&f, "west-1");
			ck_assert_uint_le(open, 15);
			most = MAX(most, open);
		}
		/* The budget is used, not only kept. */
		if (seed % 2)
			ck_assert_uint_ge(most, 12);
		g_rand_free(rand);
		fixture_finish(&f);
	}
}
END_TEST

static bool parse_row(const char *const *columns, struct pg_position *pos)
{
	struct pg_buffer buf;
	bool ok;
	int i;

	pg_buffer_init(&buf);
	pg_put_u16(&buf, 4);
	for (i = 0; i < 4; i++) {
		if (!columns[i]) {
			pg_put_u32(&buf, G_MAXUINT32);
			continue;
		}
		pg_put_u32(&buf, (uint32_t)strlen(columns[i]));
		pg_buffer_append(&buf, columns[i], strlen(columns[i]));
	}
	ok = pg_position_parse(pg_buffer_head(&buf), pg_buffer_length(&buf),
			       pos);
	/* Cut at any byte it must be refused, not read past its end. */
	for (i = 0; ok && i < (int)pg_buffer_length(&buf); i++) {
		g_autofree uint8_t *cut = g_memdup2(pg_buffer_head(&buf), i);
		struct pg_position other;

		if (pg_position_parse(cut, (size_t)i, &other))
			ck_assert_uint_eq(other.received, pos->received);
	}
	pg_buffer_finish(&buf);
	return ok;
}

/*
 * Guards against a replica that is taken for silent because its receiver
 * ended with the failed primary, and against a primary without a term.
 */
START_TEST(test_position_row)
{
	const char *replica[] = { "t", "1f", "0/30", "0/20" };
	const char *orphan[] = { "t", NULL, "0/30", "0/20" };
	const char *primary[] = { "f", "00000002", "1/0", "1/0" };
	const char *nameless[] = { "f", NULL, "1/0", "1/0" };
	const char *empty[] = { "t", NULL, NULL, NULL };
	const char *long_term[] = { "t", "123456789", "0/30", "0/20" };
	struct pg_position pos;

	ck_assert(parse_row(replica, &pos));
	ck_assert(pos.in_recovery && pos.term == 0x1f && pos.received == 0x30);
	ck_assert(parse_row(orphan, &pos));
	ck_assert(pos.in_recovery && pos.term == 0 && pos.received == 0x30);
	ck_assert(parse_row(primary, &pos));
	ck_assert(!pos.in_recovery && pos.term == 2 &&
		  pos.received == 1ull << 32);
	ck_assert(!parse_row(nameless, &pos));
	ck_assert(!parse_row(empty, &pos));
	ck_assert(!parse_row(long_term, &pos));
}
END_TEST

TEST_MAIN("control_task", test_spares_of_idle_daemons, test_wire_round_trip,
	  test_late_heartbeat, test_in_force, test_failover_view,
	  test_cluster_found, test_replicates, test_budget_is_never_exceeded,
	  test_position_row)
