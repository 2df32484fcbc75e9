#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

/* Longest time for which a leader that is stopping waits for its successor: it
 * accepts nothing meanwhile, and the others could elect another leader. */
#define LEADER_LEAVE_TIMEOUT_US (1200 * 1000ll)

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

const struct raft_member *
control_group_own_entry(const struct control_node *node)
{
	return raft_member(raft_current_members(node->raft), node->id);
}

/* Whether member @id has said lately that it is stopping. */
static bool is_leaving(const struct control_node *node, uint64_t id,
		       int64_t now_us)
{
	guint i;

	if (id == node->id)
		return node->stopping;
	for (i = 0; i < node->peers->len; i++) {
		const struct control_peer *peer = node->peers->pdata[i];

		if (peer->join_id == id)
			return peer->leaving &&
			       now_us - peer->join_us < GROUP_HEARD_WITHIN_US;
	}
	return false;
}

static void fill_members(const struct control_node *node,
			 struct group_view *view, int64_t now_us)
{
	const struct raft_members *m = raft_current_members(node->raft);
	unsigned i;

	view->changing = !raft_members_committed(node->raft);
	for (i = 0; i < m->nr; i++)
		view->member[view->nr++] = (struct group_member){
			.id = m->member[i].id,
			.voter = m->member[i].voter,
			.caught_up =
				raft_match_index(node->raft, m->member[i].id) >=
				raft_commit_index(node->raft),
			.leaving = is_leaving(node, m->member[i].id, now_us),
			.silent_us = time_since_heard_us(node, m->member[i].id,
							 now_us),
		};
}

/* Return: the join requests of @view, to be freed with g_free(). */
static struct group_join_request *fill_view(const struct control_node *node,
					    struct group_view *view,
					    int64_t now_us)
{
	struct group_join_request *join_requests =
		g_new(struct group_join_request, node->peers->len + 1);
	guint i;

	*view = (struct group_view){ .leader = node->id,
				     .voters_wanted = node->config.voters };
	for (i = 0; i < node->peers->len; i++) {
		const struct control_peer *peer = node->peers->pdata[i];

		if (peer->join_id && !peer->leaving)
			join_requests[view->nr_join_requests++] =
				(struct group_join_request){
					peer->join_id, now_us - peer->join_us
				};
	}
	view->join_requests = join_requests;
	fill_members(node, view, now_us);
	return join_requests;
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

	group_change_apply(change, &members);
	/* Refused while another change is in progress; reviewed again once that
	 * is committed. */
	if (!raft_change_members(node->raft, &members, NULL))
		return;
	control_count(node, CONTROL_COUNT_MEMBER_CHANGES, 1);
	event_log_always("member_change", "{s:s, s:I, s:I}", "action",
			 action_text(change->action), "id",
			 (json_int_t)change->id, "term",
			 (json_int_t)node->lead_term);
}

static bool may_change_members(const struct control_node *node)
{
	return node->lead_term && node->lead_term_applied;
}

void control_group_tick(struct control_node *node, int64_t now_us)
{
	g_autofree struct group_join_request *join_requests = NULL;
	struct group_view view;
	struct group_change change;

	node->group_due = false;
	if (!may_change_members(node))
		return;
	join_requests = fill_view(node, &view, now_us);
	change = group_next_change(&view);
	if (change.action != GROUP_NO_CHANGE)
		change_members(node, &change);
}

bool control_group_may_stop(const struct control_node *node, uint64_t id)
{
	g_autofree struct group_join_request *join_requests = NULL;
	struct group_view view;

	if (!may_change_members(node))
		return false;
	join_requests = fill_view(node, &view, clock_now_us());
	return group_may_stop(&view, id);
}

static bool has_learner(const struct raft_members *m)
{
	unsigned i;

	for (i = 0; i < m->nr; i++)
		if (!m->member[i].voter)
			return true;
	return false;
}

bool control_group_is_left(const struct control_node *node)
{
	const struct raft_member *own;

	if (!node->raft || node->may_stop)
		return true;
	own = control_group_own_entry(node);
	if (!own || !own->voter)
		return true;
	if (node->lead_term)
		return control_group_may_stop(node, node->id) ||
		       clock_now_us() - node->stop_started_us >
			       LEADER_LEAVE_TIMEOUT_US;
	/* The next leader could only give the place to a learner. */
	return !raft_leader(node->raft) &&
	       !has_learner(raft_current_members(node->raft));
}
