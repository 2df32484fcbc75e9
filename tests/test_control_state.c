#include "control_state.h"
#include "error.h"
#include "test_main.h"

#include <gsl/gsl_rng.h>
#include <string.h>

static const char routes[] = "[route dispatchers]\n"
			     "service = grindplan-db\n"
			     "callers = dispatcher-*\n"
			     "tenant = lakeshore\n"
			     "weight = 4\n"
			     "pool = grindplan\n";
static const char pools[] = "[pool grindplan]\n"
			    "service = grindplan-db\n"
			    "clusters = west, central\n"
			    "slots = 2\n"
			    "connections = 16\n"
			    "max_connections = 16\n"
			    "ack_replicas = 1\n"
			    "max_replica_lag = 10s\n"
			    "max_queue = 200\n"
			    "request_timeout = 5s\n";

static const Wire__ApplyVerdict *apply_entry(struct control_state *state,
					     const Wire__LogEntry *entry)
{
	size_t len = wire__log_entry__get_packed_size(entry);
	g_autofree uint8_t *bytes = g_malloc(len);
	const Wire__ApplyVerdict *verdict;

	wire__log_entry__pack(entry, bytes);
	control_state_apply(state, bytes, len, &verdict);
	return verdict;
}

static const Wire__ApplyVerdict *change_tables(struct control_state *state,
					       const char *id, uint64_t base,
					       const char *routes_text)
{
	Wire__TablesChange c = WIRE__TABLES_CHANGE__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;

	c.request_id = (char *)id;
	c.base_version = base;
	c.routes = (char *)routes_text;
	c.pools = (char *)pools;
	c.operator_name = g_str_has_prefix(id, "anna") ? "anna" : "bela";
	c.time_s = 1700000000;
	entry.body_case = WIRE__LOG_ENTRY__BODY_TABLES;
	entry.tables = &c;
	return apply_entry(state, &entry);
}

static void apply_failover_step(struct control_state *state,
				Wire__FailoverStep__Step s, uint32_t old_term,
				const char *candidate, uint32_t new_term)
{
	Wire__FailoverStep f = WIRE__FAILOVER_STEP__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;

	f.service = "grindplan-db";
	f.cluster = "west";
	f.step = s;
	f.old_term = old_term;
	f.candidate = (char *)candidate;
	f.new_term = new_term;
	f.switch_lsn = 100 * old_term;
	entry.body_case = WIRE__LOG_ENTRY__BODY_FAILOVER;
	entry.failover = &f;
	apply_entry(state, &entry);
}

static void apply_cluster_found(struct control_state *state,
				const char *primary, uint32_t term)
{
	Wire__ClusterFound f = WIRE__CLUSTER_FOUND__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;

	f.service = "grindplan-db";
	f.cluster = "west";
	f.primary = (char *)primary;
	f.term = term;
	entry.body_case = WIRE__LOG_ENTRY__BODY_CLUSTER_FOUND;
	entry.cluster_found = &f;
	apply_entry(state, &entry);
}

static void apply_share(struct control_state *state, const char *daemon,
			const char *upstream, unsigned connections,
			unsigned target)
{
	Wire__ShareChange s = WIRE__SHARE_CHANGE__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;

	s.daemon = (char *)daemon;
	s.upstream = (char *)upstream;
	s.connections = connections;
	s.target = target;
	entry.body_case = WIRE__LOG_ENTRY__BODY_SHARE;
	entry.share = &s;
	apply_entry(state, &entry);
}

static void apply_member(struct control_state *state, const char *daemon,
			 const char *address, bool remove)
{
	Wire__Member m = WIRE__MEMBER__INIT;
	Wire__MemberChange c = WIRE__MEMBER_CHANGE__INIT;
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;

	m.daemon = (char *)daemon;
	m.availability_zone = "gl-west";
	m.bus_address = (char *)address;
	c.member = &m;
	c.remove = remove;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &c;
	apply_entry(state, &entry);
}

/* Serialises the state and restores it from the result. */
static void reload(struct control_state *state)
{
	g_autoptr(GError) error = NULL;
	g_autofree uint8_t *bytes = NULL;
	size_t len;

	bytes = control_state_pack(state, &len);
	ck_assert_msg(control_state_unpack(state, bytes, len, &error), "%s",
		      error ? error->message : "");
}

static void assert_same(const struct control_state *a,
			const struct control_state *b)
{
	g_autofree uint8_t *x = NULL, *y = NULL;
	size_t x_len, y_len;

	x = control_state_pack(a, &x_len);
	y = control_state_pack(b, &y_len);
	ck_assert_uint_eq(x_len, y_len);
	ck_assert(!memcmp(x, y, x_len));
}

static const Wire__AuditRecord *audit_at(const struct control_state *state,
					 guint n)
{
	return g_queue_peek_nth(state->audit, n);
}

/* Guards against accepting the changes of two operators to the same version. */
START_TEST(test_equal_base_versions)
{
	struct control_state state;
	const Wire__ApplyVerdict *v;

	control_state_init(&state);
	v = change_tables(&state, "anna-1", 0, routes);
	ck_assert_int_eq(v->verdict, WIRE__APPLY_VERDICT__VERDICT__ACCEPTED);
	ck_assert_uint_eq(v->version, 1);
	v = change_tables(&state, "bela-1", 0, routes);
	ck_assert_int_eq(v->verdict, WIRE__APPLY_VERDICT__VERDICT__CONFLICT);
	ck_assert_uint_eq(v->version, 1);
	ck_assert_str_eq(v->winner, "anna");
	ck_assert(strstr(v->message, "anna-1") && strstr(v->message, "repeat"));
	ck_assert_uint_eq(state.tables.version, 1);
	v = change_tables(&state, "bela-2", 1, routes);
	ck_assert_int_eq(v->verdict, WIRE__APPLY_VERDICT__VERDICT__ACCEPTED);
	ck_assert_uint_eq(v->version, 2);
	ck_assert_uint_eq(state.audit->length, 3);
	ck_assert_str_eq(audit_at(&state, 1)->verdict, "conflict");
	control_state_finish(&state);
}
END_TEST

/*
 * Guards against a resent change being applied twice or conflicting with
 * itself, also after the log was compacted.
 */
START_TEST(test_resend)
{
	struct control_state state;
	const Wire__ApplyVerdict *v;
	int i;

	control_state_init(&state);
	change_tables(&state, "anna-1", 0, routes);
	change_tables(&state, "bela-1", 0, routes);
	change_tables(&state, "bela-2", 1, routes);
	for (i = 0; i < 2; i++) {
		v = change_tables(&state, "anna-1", 0, routes);
		ck_assert_int_eq(v->verdict,
				 WIRE__APPLY_VERDICT__VERDICT__ACCEPTED);
		ck_assert_uint_eq(v->version, 1);
		v = change_tables(&state, "bela-1", 2, routes);
		ck_assert_int_eq(v->verdict,
				 WIRE__APPLY_VERDICT__VERDICT__CONFLICT);
		ck_assert_uint_eq(state.tables.version, 2);
		ck_assert_uint_eq(state.audit->length, 3);
		reload(&state);
	}
	ck_assert_str_eq(audit_at(&state, 0)->operator_name, "anna");
	ck_assert_str_eq(audit_at(&state, 2)->request_id, "bela-2");
	ck_assert_uint_eq(audit_at(&state, 2)->time_s, 1700000000);
	control_state_finish(&state);
}
END_TEST

/* Guards against refused tables being applied in part. */
START_TEST(test_refused_tables)
{
	struct control_state state;
	const Wire__ApplyVerdict *v;

	control_state_init(&state);
	change_tables(&state, "anna-1", 0, routes);
	v = change_tables(&state, "anna-2", 1, "[route x]\nservice = y\n");
	ck_assert_int_eq(v->verdict, WIRE__APPLY_VERDICT__VERDICT__REFUSED);
	ck_assert(g_str_has_prefix(v->message, "routes:"));
	ck_assert_uint_eq(state.tables.version, 1);
	ck_assert_str_eq(state.tables.routes_text, routes);
	ck_assert_str_eq(audit_at(&state, 1)->verdict, "refused");
	v = change_tables(&state, "", 1, routes);
	ck_assert_int_eq(v->verdict, WIRE__APPLY_VERDICT__VERDICT__REFUSED);
	ck_assert_uint_eq(state.tables.version, 1);
	control_state_finish(&state);
}
END_TEST

/*
 * Guards against unbounded growth, and against a flood of refused changes
 * removing the audit record of the current tables.
 */
START_TEST(test_bounds)
{
	struct control_state state;
	const Wire__ApplyVerdict *v = NULL;
	char id[32];
	int i;

	control_state_init(&state);
	change_tables(&state, "anna-1", 0, routes);
	for (i = 0; i < CONTROL_AUDIT_MAX + 100; i++) {
		g_snprintf(id, sizeof(id), "bela-%d", i);
		v = change_tables(&state, id, 0, routes);
	}
	ck_assert_str_eq(v->winner, "anna");
	ck_assert_uint_eq(state.audit->length, CONTROL_AUDIT_MAX);
	ck_assert_uint_eq(state.verdict_order->length, CONTROL_VERDICTS_MAX);
	ck_assert_uint_eq(g_hash_table_size(state.verdicts),
			  CONTROL_VERDICTS_MAX);
	ck_assert_ptr_null(control_state_verdict(&state, "bela-0"));
	ck_assert_ptr_nonnull(control_state_verdict(&state, id));
	reload(&state);
	ck_assert_uint_eq(state.audit->length, CONTROL_AUDIT_MAX);
	ck_assert_ptr_nonnull(control_state_verdict(&state, id));
	control_state_finish(&state);
}
END_TEST

/*
 * Guards against a fail-over step that is out of order, repeated or of an older
 * term changing the primary, and against withdrawing a recorded fencing step.
 */
START_TEST(test_failover_steps)
{
	struct control_state state;
	struct control_cluster *c;

	control_state_init(&state);
	apply_cluster_found(&state, "west-a", 3);
	apply_cluster_found(&state, "west-b", 9);
	c = control_state_cluster(&state, "grindplan-db", "west");
	ck_assert_str_eq(c->primary, "west-a");
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__PROMOTING, 3,
			    "west-b", 0);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__DONE, 3,
			    "west-b", 4);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__FENCING, 2, "",
			    0);
	ck_assert_int_eq(c->step, WIRE__FAILOVER_STEP__STEP__NONE);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__FENCING, 3, "",
			    0);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__ABANDONED, 3, "",
			    0);
	ck_assert_int_eq(c->step, WIRE__FAILOVER_STEP__STEP__FENCING);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__PROMOTING, 3, "",
			    0);
	ck_assert_int_eq(c->step, WIRE__FAILOVER_STEP__STEP__FENCING);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__PROMOTING, 3,
			    "west-b", 0);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__PROMOTING, 3,
			    "west-c", 0);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__FENCING, 3, "",
			    0);
	ck_assert_str_eq(c->candidate, "west-c");
	reload(&state);
	c = control_state_cluster(&state, "grindplan-db", "west");
	ck_assert_int_eq(c->step, WIRE__FAILOVER_STEP__STEP__PROMOTING);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__DONE, 3,
			    "west-b", 4);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__DONE, 3,
			    "west-c", 3);
	ck_assert_str_eq(c->primary, "west-a");
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__DONE, 3,
			    "west-c", 4);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__DONE, 3,
			    "west-c", 5);
	ck_assert_str_eq(c->primary, "west-c");
	ck_assert_uint_eq(c->term, 4);
	reload(&state);
	c = control_state_cluster(&state, "grindplan-db", "west");
	ck_assert_uint_eq(c->term, 4);
	ck_assert_uint_eq(c->history.switches->len, 1);
	ck_assert(position_covers(&c->history, (struct position){ 4, 300 },
				  (struct position){ 3, 900 }));
	ck_assert_uint_eq(state.audit->length, 1);
	apply_failover_step(&state, WIRE__FAILOVER_STEP__STEP__FENCING, 4, "",
			    0);
	ck_assert_int_eq(c->step, WIRE__FAILOVER_STEP__STEP__FENCING);
	control_state_finish(&state);
}
END_TEST

/*
 * Guards against lost or wrongly added shares, and against the restart of a
 * daemon changing session owners.
 */
START_TEST(test_shares_and_members)
{
	struct control_state state;
	unsigned connections, target;

	control_state_init(&state);
	apply_share(&state, "entry-1", "west-a", 10, 10);
	apply_share(&state, "entry-2", "west-a", 6, 4);
	apply_share(&state, "entry-2", "west-b", 3, 3);
	apply_share(&state, "entry-1", "west-a", 8, 8);
	reload(&state);
	ck_assert_uint_eq(control_state_share_sum(&state, "west-a"), 14);
	control_state_share(&state, "entry-2", "west-a", &connections, &target);
	ck_assert_uint_eq(connections, 6);
	ck_assert_uint_eq(target, 4);
	apply_share(&state, "entry-2", "west-a", 0, 0);
	apply_share(&state, "entry-1", "west-a", 0, 0);
	ck_assert_uint_eq(control_state_share_sum(&state, "west-a"), 0);
	control_state_share(&state, "entry-9", "west-a", &connections, &target);
	ck_assert_uint_eq(connections + target, 0);
	apply_member(&state, "entry-1", "10.0.0.1:7000", false);
	apply_member(&state, "entry-2", "10.0.0.2:7000", false);
	apply_member(&state, "entry-1", "10.0.0.1:7000", false);
	ck_assert_uint_eq(state.members_version, 2);
	apply_member(&state, "entry-1", "10.0.0.9:7000", false);
	apply_member(&state, "entry-3", "", true);
	ck_assert_uint_eq(state.members_version, 3);
	apply_member(&state, "entry-2", "", true);
	reload(&state);
	ck_assert_uint_eq(state.members_version, 4);
	ck_assert_uint_eq(state.members->len, 1);
	control_state_finish(&state);
}
END_TEST

static void random_entry(struct control_state *state, gsl_rng *rng)
{
	char a[16], b[16];

	g_snprintf(a, sizeof(a), "d%lu", gsl_rng_uniform_int(rng, 20));
	g_snprintf(b, sizeof(b), "u%lu", gsl_rng_uniform_int(rng, 20));
	switch (gsl_rng_uniform_int(rng, 5)) {
	case 0:
		change_tables(state, a, gsl_rng_uniform_int(rng, 3),
			      gsl_rng_uniform_int(rng, 4) ? routes : "broken");
		break;
	case 1:
		apply_share(state, a, b, gsl_rng_uniform_int(rng, 4),
			    gsl_rng_uniform_int(rng, 4));
		break;
	case 2:
		apply_member(state, a, b, gsl_rng_uniform_int(rng, 3) == 0);
		break;
	case 3:
		apply_cluster_found(state, b, 1);
		break;
	default:
		apply_failover_step(state, gsl_rng_uniform_int(rng, 5),
				    1 + gsl_rng_uniform_int(rng, 2), b,
				    1 + gsl_rng_uniform_int(rng, 3));
	}
}

/*
 * Guards against control VMs with the same log and different states, with and
 * without snapshots taken in between.
 */
START_TEST(test_determinism)
{
	struct control_state a, b;
	gsl_rng *ra, *rb;
	unsigned long seed;
	int i;

	for (seed = 1; seed <= 50; seed++) {
		ra = gsl_rng_alloc(gsl_rng_mt19937);
		rb = gsl_rng_alloc(gsl_rng_mt19937);
		gsl_rng_set(ra, seed);
		gsl_rng_set(rb, seed);
		control_state_init(&a);
		control_state_init(&b);
		for (i = 0; i < 300; i++) {
			random_entry(&a, ra);
			random_entry(&b, rb);
			if (i % 37 == 0)
				reload(&b);
		}
		assert_same(&a, &b);
		control_state_finish(&a);
		control_state_finish(&b);
		gsl_rng_free(ra);
		gsl_rng_free(rb);
	}
}
END_TEST

/* Guards against a malformed entry or snapshot changing the state. */
START_TEST(test_damaged_bytes)
{
	struct control_state state, copy;
	g_autofree uint8_t *bytes = NULL;
	g_autoptr(GError) error = NULL;
	size_t len;

	control_state_init(&state);
	control_state_init(&copy);
	change_tables(&state, "anna-1", 0, routes);
	change_tables(&copy, "anna-1", 0, routes);
	bytes = control_state_pack(&state, &len);
	control_state_apply(&state, (const uint8_t *)"\x0a\x7f", 2, NULL);
	ck_assert(!control_state_unpack(&state, bytes, len - 1, &error));
	ck_assert(g_error_matches(error, CW_ERROR, CW_ERROR_CORRUPT));
	assert_same(&state, &copy);
	control_state_finish(&state);
	control_state_finish(&copy);
}
END_TEST

TEST_MAIN("control_state", test_equal_base_versions, test_resend,
	  test_refused_tables, test_bounds, test_failover_steps,
	  test_shares_and_members, test_determinism, test_damaged_bytes)
