#include "control_task.h"

#include "clock.h"
#include "control_core.h"
#include "error.h"
#include "log.h"

#include <string.h>

/* Interval of attempts to open a store that failed, microseconds. */
#define STORE_RETRY_US (500 * 1000ll)

int64_t control_now(void)
{
	return clock_now_us();
}

static void on_disk_failure(const GError *error, void *data)
{
	struct control *c = data;

	if (!c->pausing)
		log_error("control role pauses: %s", error->message);
	c->pausing = true;
}

bool control_leads(const struct control *c)
{
	return !c->disk.failed && c->ready && raft_is_leader(c->raft) &&
	       control_now() < raft_lease_until_us(c->raft);
}

/*
 * A group that was just founded has one voter. Until a second one holds the
 * log, the loss of one disk would lose what was accepted.
 */
static bool is_founding(const struct control *c)
{
	const struct raft_members *members = raft_current_members(c->raft);
	unsigned voters = 0;
	unsigned i;

	for (i = 0; i < members->nr; i++)
		voters += members->member[i].voter;
	return voters == 1 && members->nr > 1 &&
	       members->nr == c->settings->control_peers->len;
}

bool control_confirmed(const struct control *c)
{
	return control_leads(c) && !is_founding(c);
}

struct control_facts control_facts(const struct control *c)
{
	return (struct control_facts){
		.state = &c->state,
		.daemons = c->daemons,
		.leases = &c->leases,
		.now_us = control_now(),
	};
}

static void on_request(const struct bus_return_path *from,
		       const Wire__Envelope *envelope, void *data)
{
	struct control *c = data;

	if (c->disk.failed)
		return;
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_HEARTBEAT:
		control_heartbeat(c, from, envelope->heartbeat);
		return;
	case WIRE__ENVELOPE__BODY_RAFT:
		control_raft_message(c, envelope->raft);
		return;
	case WIRE__ENVELOPE__BODY_QUERY:
		if (control_bootstrap_query(c, from, envelope->query))
			return;
		control_request(c, from, envelope);
		return;
	case WIRE__ENVELOPE__BODY_APPLY_REQUEST:
		control_request(c, from, envelope);
		return;
	default:
		return;
	}
}

static void on_reply(int handle, const Wire__Envelope *envelope, void *data)
{
	struct control *c = data;

	if (!c->disk.failed &&
	    envelope->body_case == WIRE__ENVELOPE__BODY_QUERY_REPLY)
		control_bootstrap_reply(c, handle, envelope->query_reply);
}

static const struct bus_events events = {
	.request = on_request,
	.reply = on_reply,
};

/* Slow matters of the leader, a few times a second. */
static void pass(struct control *c, int64_t now_us)
{
	c->next_pass_us = now_us + CONTROL_PASS_US;
	if (!c->ready) {
		control_bootstrap(c);
		return;
	}
	control_promote_learners(c);
	control_failover_discover(c);
	control_budget(c);
	control_drop_absent(c);
}

/*
 * A disk that was full or failed for a moment may take writes again, and a group
 * whose VMs stay away after that loses its majority one by one.
 * Return: whether the store is open again
 */
static bool reopen_store(struct control *c, int64_t now_us)
{
	GError *error = NULL;

	if (now_us < c->next_reopen_us)
		return false;
	c->next_reopen_us = now_us + STORE_RETRY_US;
	if (control_raft_reopen(c, &error))
		return true;
	if (error)
		raft_disk_fail(&c->disk, error);
	return false;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int ev)
{
	struct control *c = timer->data;
	int64_t now_us = control_now();

	if (c->disk.failed && !reopen_store(c, now_us))
		return;
	control_raft_tick(c);
	if (c->ready) {
		if (!c->runs_loaded)
			control_failover_load(c);
		control_grant_due(c);
		control_failover_tick(c);
	}
	control_requests_run(c);
	if (now_us >= c->next_pass_us)
		pass(c, now_us);
}

/* Entries of one turn of the loop are synced together. */
static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int ev)
{
	control_raft_flush(prepare->data);
}

static void on_stop(struct ev_loop *loop, ev_async *async, int ev)
{
	ev_break(loop, EVBREAK_ALL);
}

static void *run(void *data)
{
	struct control *c = data;

	ev_run(c->loop, 0);
	return NULL;
}

static void init_state(struct control *c)
{
	control_state_init(&c->state);
	lease_table_init(&c->leases, c->settings->lease_duration_us);
	c->links = g_ptr_array_new_with_free_func(control_link_free);
	c->daemons = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   control_daemon_free);
	c->waiters = g_ptr_array_new_with_free_func(control_waiter_free);
	c->runs = g_ptr_array_new_with_free_func(control_run_free);
	c->found_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&c->requests);
}

static void start_watchers(struct control *c)
{
	ev_async_init(&c->stop, on_stop);
	ev_async_start(c->loop, &c->stop);
	ev_timer_init(&c->tick, on_tick, CONTROL_TICK_S, CONTROL_TICK_S);
	c->tick.data = c;
	ev_timer_start(c->loop, &c->tick);
	ev_prepare_init(&c->prepare, on_prepare);
	c->prepare.data = c;
	ev_prepare_start(c->loop, &c->prepare);
}

static void add_links(struct control *c)
{
	guint i;

	for (i = 0; i < c->settings->control_peers->len; i++) {
		const struct control_peer *p = &g_array_index(
			c->settings->control_peers, struct control_peer, i);

		if (p->id != c->settings->control_id)
			control_link_set(c, p->id, p->address);
	}
}

static void finish(struct control *c)
{
	control_requests_drop(c);
	g_ptr_array_free(c->runs, TRUE);
	g_ptr_array_free(c->waiters, TRUE);
	g_hash_table_destroy(c->found_us);
	raft_free(c->raft);
	store_close(c->disk.store);
	g_ptr_array_free(c->links, TRUE);
	if (c->bus)
		bus_free(c->bus);
	g_hash_table_destroy(c->daemons);
	control_state_finish(&c->state);
	lease_table_finish(&c->leases);
	ev_loop_destroy(c->loop);
	g_free(c);
}

struct control_task *control_task_start(const struct settings *settings,
					GError **error)
{
	struct control *c = g_new0(struct control, 1);

	c->disk.on_failure = on_disk_failure;
	c->disk.data = c;
	c->settings = settings;
	c->loop = ev_loop_new(EVBACKEND_EPOLL);
	init_state(c);
	if (!settings->data_folder) {
		g_set_error(error, CW_ERROR, CW_ERROR_SETTINGS,
			    "the control role needs a disk; set data_folder");
		finish(c);
		return NULL;
	}
	c->bus = bus_new(c->loop, settings->control_listen,
			 settings->bus_public_key, settings->bus_secret_key,
			 &events, c, error);
	if (!c->bus || !control_raft_open(c, error)) {
		finish(c);
		return NULL;
	}
	add_links(c);
	start_watchers(c);
	c->thread = g_thread_new("control", run, c);
	return (struct control_task *)c;
}

void control_task_stop(struct control_task *task)
{
	struct control *c = (struct control *)task;

	ev_async_send(c->loop, &c->stop);
	g_thread_join(c->thread);
	control_raft_flush(c);
	ev_async_stop(c->loop, &c->stop);
	ev_timer_stop(c->loop, &c->tick);
	ev_prepare_stop(c->loop, &c->prepare);
	finish(c);
}
