#define PORT 39219

#include "control_fixture.h"
#include "raft_internal.h"

static int64_t config_received_us;

/* The entry daemon sends one Watch message to each control VM. */
static void on_daemon_opened(struct channel *ch)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Watch watch = WIRE__WATCH__INIT;

	watch.daemon = (char *)"asking";
	watch.availability_zone = (char *)"z";
	envelope.body_case = WIRE__ENVELOPE__BODY_WATCH;
	envelope.watch = &watch;
	channel_send(ch, &envelope);
}

static void on_daemon_message(struct channel *ch,
			      const Wire__Envelope *envelope)
{
	if (envelope->body_case == WIRE__ENVELOPE__BODY_VIEW &&
	    envelope->view->config.len && envelope->view->fresh &&
	    !config_received_us)
		config_received_us = clock_now_us();
}

static void on_daemon_closed(struct channel *ch)
{
}

static const struct channel_events daemon_events = {
	.opened = on_daemon_opened,
	.message = on_daemon_message,
	.closed = on_daemon_closed,
};

static bool has_received_config(void)
{
	return config_received_us;
}

/* Whether the newest snapshot of a VM holds all entries that it has. */
static bool is_in_snapshot(const struct control_node *node)
{
	return node &&
	       node->raft->snapshot.index == raft_log_last(&node->raft->log);
}

static bool are_all_in_snapshot(void)
{
	unsigned i;

	for (i = 0; i < 5; i++)
		if (!is_in_snapshot(vms[i].node))
			return false;
	return true;
}

/*
 * Guards against daemons that get the configuration only with their next report
 * because they connected before a leader was elected, and a leader sends
 * nothing before it has a lease. They must have it within 150 ms of the start
 * of the third of five VMs.
 */
START_TEST(test_new_leader_sends_config)
{
	unsigned first, i;
	uint64_t version = 0;
	int64_t third_start_us;

	start_group(5);
	/* With the last put in every snapshot, no entry that is applied after
	 * the restart triggers a view. */
	do
		put_config(++version, "document");
	while (!is_in_snapshot(leader()) &&
	       version < 2 * CONTROL_SNAPSHOT_ENTRIES);
	ck_assert(run_until(are_all_in_snapshot, 5));
	first = leader_index();
	for (i = 0; i < 5; i++)
		stop_vm(i);
	start_vm(first, false);
	start_vm((first + 1) % 5, false);
	for (i = 0; i < 5; i++) {
		int64_t next_us = 0;

		daemon_channels[i].stream.fd = -1;
		if (vms[i].node)
			channel_connect(&daemon_channels[i], loop, IP(i), PORT,
					&daemon_events, NULL, &next_us);
	}
	ck_assert(!run_until(has_received_config, 0.2));
	third_start_us = clock_now_us();
	start_vm((first + 2) % 5, false);
	ck_assert(run_until(has_received_config, 5));
	ck_assert_int_le(config_received_us - third_start_us, 150000);
}
END_TEST

TEST_MAIN_WITH_FIXTURE("control_start", init_group, stop_group,
		       test_new_leader_sends_config)
