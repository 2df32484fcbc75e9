#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

static void finish_put(struct control_node *node, guint index,
		       enum config_put_outcome outcome)
{
	struct control_pending_put *put = node->puts->pdata[index];

	g_ptr_array_remove_index(node->puts, index);
	if (outcome != CONFIG_ACCEPTED)
		control_count(node, CONTROL_COUNT_PUTS_UNCLEAR, 1);
	event_log("config_answered", "{s:I, s:i, s:I}", "version",
		  (json_int_t)put->version, "outcome", (int)outcome, "held",
		  (json_int_t)node->reg.version);
	put->done(outcome, put->data);
	g_free(put);
}

void control_config_put(struct control_node *node, uint64_t version,
			GBytes *document, config_put_callback done, void *data)
{
	g_autofree uint8_t *bytes = NULL;
	struct control_pending_put *put;
	size_t len;

	control_count(node, CONTROL_COUNT_PUTS, 1);
	if (version <= node->reg.version) {
		done(CONFIG_ACCEPTED, data);
		return;
	}
	if (!node->lead_term || node->stopping) {
		done(control_leader_ip(node) ? CONFIG_NOT_LEADER :
					       CONFIG_OUTCOME_UNKNOWN,
		     data);
		return;
	}
	bytes = config_change_pack(version, document, &len);
	if (!raft_propose(node->raft, bytes, len, NULL, NULL)) {
		done(CONFIG_OUTCOME_UNKNOWN, data);
		return;
	}
	event_log("config_proposed", "{s:I, s:I, s:I}", "version",
		  (json_int_t)version, "bytes", (json_int_t)len, "term",
		  (json_int_t)node->lead_term);
	put = g_new0(struct control_pending_put, 1);
	put->version = version;
	put->deadline_us = clock_now_us() + CONTROL_PUT_TIMEOUT_US;
	put->done = done;
	put->data = data;
	g_ptr_array_add(node->puts, put);
}

void control_config_put_cancel(struct control_node *node, void *data)
{
	guint i;

	for (i = 0; i < node->puts->len; i++) {
		struct control_pending_put *put = node->puts->pdata[i];

		if (put->data != data)
			continue;
		g_ptr_array_remove_index(node->puts, i);
		g_free(put);
		return;
	}
}

/* A put has succeeded once this VM holds its version or a newer one, whoever
 * proposed that: the version held never goes back. */
void control_puts_complete(struct control_node *node, int64_t now_us)
{
	guint i = 0;

	while (i < node->puts->len) {
		struct control_pending_put *put = node->puts->pdata[i];

		if (put->version <= node->reg.version)
			finish_put(node, i, CONFIG_ACCEPTED);
		else if (!node->lead_term || now_us > put->deadline_us)
			finish_put(node, i, CONFIG_OUTCOME_UNKNOWN);
		else
			i++;
	}
}

GBytes *control_config_get(struct control_node *node, uint64_t *version,
			   bool *is_newest)
{
	*version = node->reg.version;
	*is_newest = node->lead_term && node->lead_term_applied &&
		     raft_lease_until_us(node->raft) > clock_now_us();
	return *is_newest ? node->reg.document : NULL;
}

uint32_t control_leader_ip(const struct control_node *node)
{
	uint64_t leader = node->raft ? raft_leader(node->raft) : 0;

	if (leader == node->id || node->stopping)
		return 0;
	return (uint32_t)(leader >> 32);
}
