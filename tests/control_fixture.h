#ifndef CONTROL_FIXTURE_H
#define CONTROL_FIXTURE_H

#include "control/internal.h"
#include "event_timers.h"
#include "remove_tree.h"
#include "stall_free_clock.h"
#include "test_main.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

/*
 * Runs several control VMs in one event loop, each on its own loopback address.
 */

#define NR_VMS 8
/* A test program defines its own, as several run at once. */
#ifndef PORT
#define PORT 39210
#endif
#define IP(i) (0x7f010001u + (i))

/**
 * struct vm - a control VM
 * @disk_full: whether its store gets no more bytes
 */
struct vm {
	struct control_node *node;
	struct timer_service timers;
	struct event_timers event_timers;
	char *folder;
	bool disk_full;
};

static struct ev_loop *loop;
static struct vm vms[NR_VMS];
/* Connections of an entry daemon, one to each control VM. */
static struct channel daemon_channels[NR_VMS];
static char *root;
static unsigned nr_promotions;
static char promoted_id[64];
/* Upstream of the first promotion request; requests for it get no answer. */
static char unanswered_id[64];
static uint64_t newest_unanswered_token;
static uint64_t promoted_token;
static bool leave_first_unanswered;
/* While set, no request gets an answer. */
static bool platform_silent;
static unsigned nr_unanswered;

static inline void promote(const char *service, const char *id, uint64_t token,
			   void *data)
{
	struct vm *vm = data;

	if (platform_silent) {
		nr_unanswered++;
		control_promotion_answered(vm->node, service, id, token,
					   PROMOTION_OUTCOME_UNKNOWN);
		return;
	}
	if (leave_first_unanswered && !unanswered_id[0])
		g_strlcpy(unanswered_id, id, sizeof(unanswered_id));
	if (leave_first_unanswered && !strcmp(id, unanswered_id)) {
		newest_unanswered_token = token;
		control_promotion_answered(vm->node, service, id, token,
					   PROMOTION_OUTCOME_UNKNOWN);
		return;
	}
	nr_promotions++;
	promoted_token = token;
	g_strlcpy(promoted_id, id, sizeof(promoted_id));
	control_promotion_answered(vm->node, service, id, token,
				   PROMOTION_DONE);
}

/* What the configuration asks for. */
static unsigned nr_sync_replicas;

static inline unsigned sync_replicas(GBytes *document, const char *service,
				     void *data)
{
	return nr_sync_replicas;
}

static inline bool has_service(GBytes *document, const char *service,
			       void *data)
{
	return strcmp(service, "unknown");
}

static const struct control_ops ops = { promote, has_service, sync_replicas };

static struct store_file_ops vm_file_ops;

static inline ssize_t write_unless_full(int fd, const void *buf, size_t len,
					off_t offset, void *data)
{
	struct vm *vm = data;

	if (!vm->disk_full)
		return pwrite(fd, buf, len, offset);
	errno = ENOSPC;
	return -1;
}

static inline void finish_timers(unsigned i)
{
	event_timers_finish(&vms[i].event_timers);
	timer_service_finish(&vms[i].timers);
}

static inline void start_vm(unsigned i, bool bootstrap)
{
	struct control_config config = {
		.name = "vm",
		.ip = IP(i),
		.port = PORT,
		.folder = vms[i].folder,
		.bootstrap = bootstrap,
		.seeds = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.voters = 5,
		.file_ops = &vm_file_ops,
		.file_data = &vms[i],
	};
	GError *error = NULL;
	uint32_t ip;

	vm_file_ops = store_posix_file_ops;
	vm_file_ops.pwrite = write_unless_full;
	for (ip = IP(0); ip < IP(3); ip++)
		g_array_append_val(config.seeds, ip);
	timer_service_init(&vms[i].timers);
	event_timers_init(&vms[i].event_timers, loop, &vms[i].timers);
	vms[i].node = control_node_new(loop, &vms[i].timers, &config, &ops,
				       &vms[i], &error);
	g_array_free(config.seeds, TRUE);
	if (!vms[i].node)
		finish_timers(i);
	ck_assert_msg(vms[i].node, "%s", error ? error->message : "");
}

static inline void stop_vm(unsigned i)
{
	control_node_free(vms[i].node);
	finish_timers(i);
	vms[i].node = NULL;
}

static inline void erase_disk(unsigned i)
{
	remove_tree(vms[i].folder);
}

static inline void on_timeout(struct ev_loop *l, ev_timer *w, int revents)
{
	ev_break(l, EVBREAK_ALL);
}

static inline bool run_until(bool (*condition)(void), double seconds)
{
	int64_t end_us = clock_now_us() + (int64_t)(seconds * 1e6);

	while (clock_now_us() < end_us) {
		ev_timer timer;

		if (condition && condition())
			return true;
		ev_timer_init(&timer, on_timeout, 0.02, 0.);
		ev_timer_start(loop, &timer);
		ev_run(loop, 0);
		ev_timer_stop(loop, &timer);
	}
	return condition && condition();
}

static inline struct control_node *leader(void)
{
	unsigned i;

	for (i = 0; i < NR_VMS; i++)
		if (vms[i].node && vms[i].node->lead_term &&
		    vms[i].node->lead_term_applied &&
		    control_knows_leader(vms[i].node))
			return vms[i].node;
	return NULL;
}

static inline unsigned leader_index(void)
{
	unsigned i;

	ck_assert_ptr_nonnull(leader());
	for (i = 0; vms[i].node != leader(); i++)
		;
	return i;
}

static inline unsigned count_voters(void)
{
	struct control_node *node = leader();
	const struct raft_members *m = node ? raft_current_members(node->raft) :
					      NULL;
	unsigned nr = 0;
	unsigned i;

	for (i = 0; m && i < m->nr; i++)
		nr += m->member[i].voter;
	return nr;
}

static inline bool has_leader(void)
{
	return leader();
}

static inline bool has_five_voters(void)
{
	return count_voters() == 5;
}

/* Whether there are five voters and every member is a running VM. */
static inline bool all_members_run(void)
{
	struct control_node *node = leader();
	const struct raft_members *m = node ? raft_current_members(node->raft) :
					      NULL;
	unsigned i, j;

	for (i = 0; m && i < m->nr; i++) {
		for (j = 0; j < NR_VMS; j++)
			if (vms[j].node && vms[j].node->id == m->member[i].id)
				break;
		if (j == NR_VMS)
			return false;
	}
	return m && count_voters() == 5;
}

static inline bool has_two_learners(void)
{
	struct control_node *node = leader();

	return count_voters() == 5 && raft_current_members(node->raft)->nr == 7;
}

static enum config_put_outcome outcome;
static bool put_answered;

static inline void on_put(enum config_put_outcome o, void *data)
{
	outcome = o;
	put_answered = true;
}

static inline bool is_put_answered(void)
{
	return put_answered;
}

/* Time within which operators must get a change acknowledged, seconds. */
#define PUT_TIMEOUT_S 5

/*
 * Retries a put without a clear answer with the leader of that moment, as an
 * operator does. All VMs share one event loop, which a busy machine may stall
 * for longer than an election timeout.
 */
static inline void put_config(uint64_t version, const char *text)
{
	GBytes *document = g_bytes_new(text, strlen(text));
	int64_t end_us = clock_now_us() + PUT_TIMEOUT_S * 1000000ll;

	do {
		ck_assert(run_until(has_leader, PUT_TIMEOUT_S));
		put_answered = false;
		control_config_put(leader(), version, document, on_put, NULL);
		ck_assert(run_until(is_put_answered, PUT_TIMEOUT_S));
	} while (outcome != CONFIG_ACCEPTED && clock_now_us() < end_us);
	g_bytes_unref(document);
	ck_assert_int_eq(outcome, CONFIG_ACCEPTED);
}

static inline void expect_config(uint64_t version, const char *text)
{
	uint64_t held;
	bool is_newest;
	GBytes *document;

	ck_assert(run_until(has_leader, 5));
	document = control_config_get(leader(), &held, &is_newest);
	ck_assert(is_newest);
	ck_assert_uint_eq(held, version);
	ck_assert_uint_eq(g_bytes_get_size(document), strlen(text));
	ck_assert(
		!memcmp(g_bytes_get_data(document, NULL), text, strlen(text)));
}

static inline void start_group(unsigned nr)
{
	unsigned i;

	loop = ev_loop_new(EVBACKEND_EPOLL);
	root = g_dir_make_tmp("cw-control-XXXXXX", NULL);
	for (i = 0; i < NR_VMS; i++)
		vms[i].folder = g_strdup_printf("%s/%u", root, i);
	for (i = 0; i < nr; i++)
		start_vm(i, true);
	ck_assert(run_until(nr >= 5 ? has_five_voters : has_leader, 10));
}

static inline void init_group(void)
{
	unsigned i;

	memset(vms, 0, sizeof(vms));
	loop = NULL;
	root = NULL;
	for (i = 0; i < NR_VMS; i++)
		daemon_channels[i].stream.fd = -1;
	leave_first_unanswered = false;
	platform_silent = false;
	nr_sync_replicas = 0;
}

/* A failed assertion leaves a test at once, so the next test would find the
 * ports in use if the test itself stopped the group. */
static inline void stop_group(void)
{
	unsigned i;

	if (!loop)
		return;
	for (i = 0; i < NR_VMS; i++) {
		channel_close(&daemon_channels[i]);
		if (vms[i].node)
			stop_vm(i);
		g_free(vms[i].folder);
	}
	remove_tree(root);
	g_free(root);
	ev_loop_destroy(loop);
}

#endif
