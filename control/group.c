#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

bool control_knows_leader(const struct control_node *node)
{
	if (!node->raft)
		return false;
	if (raft_is_leader(node->raft))
		return raft_lease_until_us(node->raft) > clock_now_us();
	return raft_leader(node->raft) != 0;
}

static int64_t time_since_heard_us(const struct control_node *node, uint64_t id,
				   int64_t now_us)
{
	int64_t since_us = raft_became_leader_us(node->raft);

	if (id == node->id)
		return 0;
	return now_us - MAX(raft_last_reply_us(node->raft, id), since_us);
}

static void fill_members(const struct control_node *node,
			 struct group_view *view, int64_t now_us)
{
	const struct raft_members *m = raft_current_members(node->raft);
	unsigned i;

	for (i = 0; i < m->nr; i++)
		view->member[view->nr++] = (struct group_member){
			.id = m->member[i].id,
			.voter = m->member[i].voter,
			.caught_up =
				raft_match_index(node->raft, m->member[i].id) >=
				raft_commit_index(node->raft),
			.silent_us = time_since_heard_us(node, m->member[i].id,
							 now_us),
		};
}

static const char *action_text(enum group_action action)
{
	switch (action) {
	case GROUP_ADD:
		return "add";
	case GROUP_PROMOTE_LEARNER:
		return "make voter";
	case GROUP_REMOVE:
		return "remove";
	case GROUP_NO_CHANGE:
		break;
	}
	return "keep";
}

static void change_members(struct control_node *node,
			   const struct group_change *change)
{
	struct raft_members members = *raft_current_members(node->raft);
	unsigned i;

	for (i = 0; i < members.nr; i++)
		if (members.member[i].id == change->id)
			break;
	if (change->action == GROUP_ADD)
		members.member[members.nr++] =
			(struct raft_member){ change->id, false };
	else if (i < members.nr && change->action == GROUP_PROMOTE_LEARNER)
		members.member[i].voter = true;
	else if (i < members.nr)
		members.member[i] = members.member[--members.nr];
	/* Refused while another change is in progress; a later tick retries. */
	if (!raft_change_members(node->raft, &members, NULL))
		return;
	control_count(node, CONTROL_COUNT_MEMBER_CHANGES, 1);
	event_log_always("member_change", "{s:s, s:I, s:I}", "action",
			 action_text(change->action), "id",
			 (json_int_t)change->id, "term",
			 (json_int_t)node->lead_term);
}

void control_group_tick(struct control_node *node, int64_t now_us)
{
	struct group_join_request *join_requests;
	struct group_view view = { .leader = node->id,
				   .voters_wanted = node->config.voters };
	struct group_change change;
	guint i;

	if (!node->lead_term || !node->lead_term_applied)
		return;
	join_requests = g_new(struct group_join_request, node->peers->len);
	for (i = 0; i < node->peers->len; i++) {
		const struct control_peer *peer = node->peers->pdata[i];

		if (peer->join_id)
			join_requests[view.nr_join_requests++] =
				(struct group_join_request){
					peer->join_id, now_us - peer->join_us
				};
	}
	view.join_requests = join_requests;
	fill_members(node, &view, now_us);
	change = group_next_change(&view);
	if (change.action != GROUP_NO_CHANGE)
		change_members(node, &change);
	g_free(join_requests);
}
