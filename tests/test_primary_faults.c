#define SIM_NODES 3

#include "primary_register.h"
#include "raft_sim.h"
#include "test_main.h"

#include <stdio.h>

/*
 * Plays orders to promote on simulated control VMs that agree on them. Messages
 * between the VMs are lost, leaders crash or are cut off, the platform leaves
 * orders without an answer and carries them out seconds later, and upstreams
 * are seen to lead when they do not any more.
 */

#define FAULT_SEEDS 60
#define RUN_US 20000000
#define UPSTREAMS 3
/* Longest time until an order without an answer is carried out. */
#define LATE_MAX_US 12000000
#define ORDER_INTERVAL_US 400000
/* Time without faults after which an order must be outdated. */
#define SETTLE_US 4000000

/**
 * struct late_order - an order that the platform carries out at @at_us
 * @token: 0 for a free place
 */
struct late_order {
	int64_t at_us;
	uint64_t token;
	unsigned upstream;
};

/**
 * struct vm_state - what a control VM knows
 * @last_order: lower half of its last token
 * @ordered_us: when it last proposed an order
 */
struct vm_state {
	struct primary_register reg;
	bool init;
	uint64_t last_order;
	int64_t ordered_us;
};

static const char *const ids[UPSTREAMS] = { "a", "b", "c" };
static struct sim *sim;
static struct vm_state vms[SIM_NODES + 1];
static struct late_order late[64];
/* The platform: who leads, by which order, and the highest token seen. */
static unsigned primary;
static uint64_t primary_token;
static unsigned nr_orders, nr_late, nr_promotions;

static bool chance(double p)
{
	return g_rand_double(sim->rand) < p;
}

static const struct primary_record *record_of(const struct sim_node *n)
{
	return primary_register_find(&vms[n->id].reg, "s");
}

static void propose(struct sim_node *n, Wire__PrimaryChange__Kind kind,
		    unsigned upstream, uint64_t token)
{
	Wire__ConfigChange entry = WIRE__CONFIG_CHANGE__INIT;
	Wire__PrimaryChange change = WIRE__PRIMARY_CHANGE__INIT;
	uint8_t bytes[256];
	size_t len;

	change.kind = kind;
	change.service = "s";
	change.id = (char *)ids[upstream];
	change.token = token;
	entry.primary = &change;
	len = wire__config_change__pack(&entry, bytes);
	raft_propose(n->raft, bytes, len, NULL, NULL);
}

static bool carry_out(unsigned upstream, uint64_t token)
{
	if (token < primary_token)
		return false;
	nr_promotions += primary != upstream;
	primary = upstream;
	primary_token = token;
	return true;
}

static void carry_out_later(unsigned upstream, uint64_t token)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(late); i++)
		if (!late[i].token) {
			late[i] = (struct late_order){
				sim->now_us + g_rand_int_range(sim->rand, 0,
							       LATE_MAX_US),
				token, upstream
			};
			nr_late++;
			return;
		}
}

/* The leader passes its order on; the answer may be lost on its way. */
static void give_order(struct sim_node *n, unsigned upstream, uint64_t token)
{
	bool done;

	nr_orders++;
	if (chance(0.35)) {
		carry_out_later(upstream, token);
		return;
	}
	done = carry_out(upstream, token);
	if (chance(0.2))
		return;
	propose(n,
		done ? WIRE__PRIMARY_CHANGE__KIND__PROMOTED :
		       WIRE__PRIMARY_CHANGE__KIND__REFUSED,
		upstream, token);
}

static unsigned index_of(const char *id)
{
	return (unsigned)(id[0] - 'a');
}

static void on_started(struct sim_node *n)
{
	struct vm_state *vm = &vms[n->id];

	if (vm->init)
		primary_register_finish(&vm->reg);
	primary_register_init(&vm->reg);
	vm->init = true;
	vm->ordered_us = 0;
}

static void on_applied(struct sim_node *n, const struct raft_entry *e)
{
	Wire__ConfigChange *entry =
		e->kind == RAFT_ENTRY_DATA ?
			wire__config_change__unpack(NULL, e->len, e->data) :
			NULL;
	const Wire__PrimaryChange *change = entry ? entry->primary : NULL;

	if (!change)
		return;
	primary_register_apply(&vms[n->id].reg, change, e->index, sim->now_us);
	if (change->kind == WIRE__PRIMARY_CHANGE__KIND__ORDERED && n->raft &&
	    raft_is_leader(n->raft) &&
	    change->token >> 32 == raft_term(n->raft))
		give_order(n, index_of(change->id), change->token);
	wire__config_change__free_unpacked(entry, NULL);
}

/* As the leader, repeats an open order until one is answered. */
static void repeat_order(struct sim_node *n)
{
	struct vm_state *vm = &vms[n->id];
	const struct primary_record *record = record_of(n);
	const struct primary_order *open =
		record ? primary_record_rival(record) : NULL;

	if (!open || sim->now_us - vm->ordered_us < ORDER_INTERVAL_US)
		return;
	vm->ordered_us = sim->now_us;
	propose(n, WIRE__PRIMARY_CHANGE__KIND__ORDERED, index_of(open->id),
		raft_term(n->raft) << 32 | ++vm->last_order);
}

/* Orders any upstream now and then, and takes one that leads, or led a moment
 * ago, for the primary. */
static void act_as_leader(struct sim_node *n)
{
	struct vm_state *vm = &vms[n->id];
	const struct primary_record *record = record_of(n);
	unsigned upstream = (unsigned)g_rand_int_range(sim->rand, 0, UPSTREAMS);

	if (sim->now_us - vm->ordered_us < ORDER_INTERVAL_US)
		return;
	if (chance(0.01))
		propose(n, WIRE__PRIMARY_CHANGE__KIND__LEADS,
			chance(0.5) ? primary : upstream,
			record ? record->token : 0);
	if (!chance(0.01))
		return;
	vm->ordered_us = sim->now_us;
	propose(n, WIRE__PRIMARY_CHANGE__KIND__ORDERED, upstream,
		raft_term(n->raft) << 32 | ++vm->last_order);
}

static void play_late_orders(void)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(late); i++)
		if (late[i].token && late[i].at_us <= sim->now_us) {
			carry_out(late[i].upstream, late[i].token);
			late[i].token = 0;
		}
}

static void heal(void)
{
	uint64_t id;

	for (id = 1; id <= SIM_NODES; id++) {
		sim_isolate(sim, id, false);
		if (!sim->node[id].raft)
			sim_start(sim, id);
	}
}

static void inject(void)
{
	uint64_t id = (uint64_t)g_rand_int_range(sim->rand, 1, SIM_NODES + 1);

	if (!chance(0.0008))
		return;
	switch (g_rand_int_range(sim->rand, 0, 3)) {
	case 0:
		if (sim->node[id].raft)
			sim_crash(sim, id);
		else
			sim_start(sim, id);
		return;
	case 1:
		sim_isolate(sim, id, true);
		return;
	default:
		heal();
		return;
	}
}

/*
 * What a leader that has applied its own term's first entry knows: the order by
 * which the primary leads is the newest known one, or is open.
 */
static void check_leader(const struct sim_node *n, uint32_t seed)
{
	const struct primary_record *record = record_of(n);
	const struct primary_order *order;

	if (!primary_token && !record)
		return;
	ck_assert_msg(record, "seed %u: no record", seed);
	ck_assert_msg(record->token <= primary_token,
		      "seed %u: an order counts as carried out that was not",
		      seed);
	if (primary_token <= record->token)
		return;
	order = primary_record_order(record, ids[primary]);
	ck_assert_msg(order && order->first_token <= primary_token &&
			      order->last_token >= primary_token,
		      "seed %u at %" G_GINT64_FORMAT
		      " us: %s leads by an order that is not open",
		      seed, sim->now_us, ids[primary]);
}

static bool leads_for_sure(const struct sim_node *n)
{
	return n->raft && raft_is_leader(n->raft) &&
	       raft_lease_until_us(n->raft) > sim->now_us && n->applied &&
	       raft_log_term(&n->raft->log, n->applied) == raft_term(n->raft);
}

/* The upstream that leads says so, as an order without an answer was carried
 * out. */
static void propose_lead(struct sim_node *n)
{
	const struct primary_record *record = record_of(n);

	if (chance(0.05))
		propose(n, WIRE__PRIMARY_CHANGE__KIND__LEADS, primary,
			record->token);
}

/* With faults over, and long before the latest order is carried out, the
 * primary must be agreed on, and stay. */
static void check_settles(uint32_t seed)
{
	int64_t until = sim->now_us + SETTLE_US;
	const struct primary_record *record;
	struct sim_node *n;
	unsigned agreed;

	heal();
	while (sim->now_us < until) {
		sim_step(sim);
		play_late_orders();
		n = sim_leader(sim);
		if (!n || !leads_for_sure(n))
			continue;
		check_leader(n, seed);
		record = record_of(n);
		if (record &&
		    strcmp(record->id ? record->id : "", ids[primary]))
			propose_lead(n);
		repeat_order(n);
	}
	n = sim_wait_for_leader(sim);
	record = record_of(n);
	ck_assert_msg(record && !primary_record_rival(record),
		      "seed %u: an order stays open", seed);
	ck_assert_str_eq(record->id, ids[primary]);
	agreed = primary;
	for (until += LATE_MAX_US; sim->now_us < until;) {
		sim_step(sim);
		play_late_orders();
		ck_assert_msg(primary == agreed,
			      "seed %u: an outdated order was carried out",
			      seed);
	}
}

static void run_seed(uint32_t seed)
{
	uint64_t id;

	memset(late, 0, sizeof(late));
	primary = 0;
	primary_token = 0;
	sim = sim_new(seed, SIM_NODES);
	sim->loss_probability = 0.05;
	sim->snapshot_entries = 1000000;
	sim->started = on_started;
	sim->applied = on_applied;
	for (id = 1; id <= SIM_NODES; id++)
		on_started(&sim->node[id]);
	while (sim->now_us < RUN_US) {
		sim_step(sim);
		play_late_orders();
		inject();
		for (id = 1; id <= SIM_NODES; id++) {
			if (!leads_for_sure(&sim->node[id]))
				continue;
			check_leader(&sim->node[id], seed);
			act_as_leader(&sim->node[id]);
			if (chance(0.2))
				repeat_order(&sim->node[id]);
		}
	}
	check_settles(seed);
	for (id = 1; id <= SIM_NODES; id++) {
		primary_register_finish(&vms[id].reg);
		vms[id].init = false;
	}
	sim_free(sim);
}

/* Guards against a new leader that does not know which orders of the leaders
 * before it may be, or have been, carried out. */
START_TEST(test_orders_outlive_leaders)
{
	uint32_t seed;

	for (seed = 1; seed <= FAULT_SEEDS; seed++)
		run_seed(seed);
	printf("%d seeds, %u orders, %u late, %u promotions\n", FAULT_SEEDS,
	       nr_orders, nr_late, nr_promotions);
	ck_assert_uint_gt(nr_promotions, FAULT_SEEDS);
	ck_assert_uint_gt(nr_late, FAULT_SEEDS);
}
END_TEST

TEST_MAIN("primary_faults", test_orders_outlive_leaders)
