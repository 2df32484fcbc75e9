#include "control_core.h"
#include "error.h"
#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Query by which a VM with an empty folder asks the others for theirs. */
#define BOOTSTRAP_QUERY "control-empty"
#define BOOTSTRAP_ASK_US 500000ll
/* Age up to which an answer to it counts. */
#define BOOTSTRAP_FRESH_US 2000000ll
/* Most other control VMs that are known. */
#define LINKS_MAX (2 * RAFT_MEMBERS_MAX)
/* Absence after which a daemon leaves the member list. */
#define ABSENT_US (24ll * 3600 * 1000000)

void control_link_free(void *data)
{
	struct control_link *link = data;

	g_free(link->address);
	g_free(link);
}

struct control_link *control_link(struct control *c, uint64_t id)
{
	struct control_link *link;
	guint i;

	for (i = 0; i < c->links->len; i++) {
		link = c->links->pdata[i];
		if (link->id == id)
			return link;
	}
	return NULL;
}

const char *control_leader_address(struct control *c)
{
	uint64_t leader = raft_leader(c->raft);
	const struct control_link *link = control_link(c, leader);

	if (leader == c->settings->control_id)
		return c->settings->control_listen;
	return link && link->address ? link->address : "";
}

bool control_is_member(const struct control *c, uint64_t id)
{
	return raft_member(raft_current_members(c->raft), id);
}

/* Gives up the link of a VM that is no member, if every place is taken. */
static bool make_room(struct control *c)
{
	guint i;

	if (c->links->len < LINKS_MAX)
		return true;
	for (i = 0; i < c->links->len; i++) {
		const struct control_link *link = c->links->pdata[i];

		if (control_is_member(c, link->id))
			continue;
		bus_disconnect(c->bus, link->handle);
		g_ptr_array_remove_index(c->links, i);
		return true;
	}
	return false;
}

void control_link_set(struct control *c, uint64_t id, const char *address)
{
	struct control_link *link = control_link(c, id);
	int handle;

	if (!id || id == c->settings->control_id ||
	    (link && !strcmp(link->address, address)) ||
	    (!link && !make_room(c)))
		return;
	handle = bus_connect(c->bus, address, NULL);
	if (handle < 0)
		return;
	if (!link) {
		link = g_new0(struct control_link, 1);
		link->id = id;
		g_ptr_array_add(c->links, link);
	}
	g_free(link->address);
	link->address = g_strdup(address);
	link->handle = handle;
}

static bool is_empty(const struct control *c)
{
	return !raft_current_members(c->raft)->nr;
}

bool control_bootstrap_query(struct control *c,
			     const struct bus_return_path *from,
			     const Wire__Query *query)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QueryReply reply = WIRE__QUERY_REPLY__INIT;

	if (strcmp(query->command, BOOTSTRAP_QUERY))
		return false;
	reply.json = is_empty(c) ? "true" : "false";
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY_REPLY;
	envelope.query_reply = &reply;
	bus_reply(c->bus, from, &envelope);
	return true;
}

void control_bootstrap_reply(struct control *c, int handle,
			     const Wire__QueryReply *reply)
{
	guint i;

	for (i = 0; i < c->links->len; i++) {
		struct control_link *link = c->links->pdata[i];

		if (link->handle != handle)
			continue;
		link->has_data = !strcmp(reply->json, "false");
		if (!link->has_data)
			link->empty_us = control_now();
	}
}

/* One voter and learners: a group no other VM has to agree to. */
static void found_group(struct control *c)
{
	struct raft_recovered rec = { 0 };
	g_autofree uint8_t *bytes = NULL;
	GError *error = NULL;
	guint i;

	rec.members.member[rec.members.nr++] =
		(struct raft_member){ c->settings->control_id, true };
	for (i = 0; i < c->links->len && rec.members.nr < RAFT_MEMBERS_MAX; i++)
		rec.members.member[rec.members.nr++] = (struct raft_member){
			((struct control_link *)c->links->pdata[i])->id, false
		};
	bytes = control_state_pack(&c->state, &rec.snapshot_len);
	rec.snapshot = bytes;
	if (!raft_disk_bootstrap(&c->disk, &rec, &error)) {
		raft_disk_fail(&c->disk, error);
		return;
	}
	log_notice("control VM %" PRIu64 " founds the group",
		   c->settings->control_id);
	control_raft_start(c, &rec);
}

/* A group that is being founded reaches every VM within this time. */
#define FORMING_US (3 * 1000000ll)

/*
 * Only the VM of the lowest id founds the group, and only while every other
 * one of its settings answers that its folder is empty too. A VM that lost
 * its disk finds one with data and waits to be added.
 */
void control_bootstrap(struct control *c)
{
	int64_t now_us = control_now();
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Query query = WIRE__QUERY__INIT;
	bool all = true;
	guint i;

	if (!is_empty(c) || now_us < c->next_bootstrap_us)
		return;
	c->next_bootstrap_us = now_us + BOOTSTRAP_ASK_US;
	query.command = BOOTSTRAP_QUERY;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY;
	envelope.query = &query;
	for (i = 0; i < c->links->len; i++) {
		const struct control_link *link = c->links->pdata[i];

		if (link->has_data && !c->group_seen_us)
			c->group_seen_us = now_us;
		if (link->has_data && !c->warned_wiped &&
		    now_us - c->group_seen_us >= FORMING_US) {
			c->warned_wiped = true;
			log_warning("the data folder is empty but the group "
				    "exists; if the disk was lost, add this VM "
				    "under a new control id with "
				    "comfreywheelctl member add");
		}
		all = all && !link->has_data && link->empty_us &&
		      now_us - link->empty_us < BOOTSTRAP_FRESH_US;
		all = all && c->settings->control_id < link->id;
		bus_send(c->bus, link->handle, &envelope);
	}
	if (all)
		found_group(c);
}

static bool in_settings(const struct control *c, uint64_t id)
{
	guint i;

	for (i = 0; i < c->settings->control_peers->len; i++)
		if (g_array_index(c->settings->control_peers,
				  struct control_peer, i)
			    .id == id)
			return true;
	return false;
}

/* Learners of the first group become voters as soon as they caught up. */
void control_promote_learners(struct control *c)
{
	struct raft_members members = *raft_current_members(c->raft);
	unsigned i;

	for (i = 0; i < members.nr; i++) {
		uint64_t id = members.member[i].id;

		if (members.member[i].voter || !in_settings(c, id) ||
		    raft_match_index(c->raft, id) < raft_commit_index(c->raft))
			continue;
		members.member[i].voter = true;
		if (raft_change_members(c->raft, &members, NULL))
			log_notice("control VM %" PRIu64 " becomes a voter",
				   id);
		return;
	}
}

static bool propose_removal(struct control *c, const char *daemon,
			    GError **error)
{
	Wire__LogEntry entry = WIRE__LOG_ENTRY__INIT;
	Wire__MemberChange change = WIRE__MEMBER_CHANGE__INIT;
	Wire__Member member = WIRE__MEMBER__INIT;

	member.daemon = (char *)daemon;
	change.member = &member;
	change.remove = true;
	entry.body_case = WIRE__LOG_ENTRY__BODY_MEMBER;
	entry.member = &change;
	return control_propose(c, &entry, NULL, error);
}

void control_drop_absent(struct control *c)
{
	int64_t now_us = control_now();
	guint i;

	for (i = 0; i < c->state.members->len; i++) {
		const struct control_member *m = c->state.members->pdata[i];
		struct control_daemon *d =
			g_hash_table_lookup(c->daemons, m->daemon);
		int64_t heard_us = d ? d->received_us :
				       c->leases.leader_since_us;

		if (now_us - heard_us < ABSENT_US)
			continue;
		log_notice("daemon %s was absent for 24 h and leaves the "
			   "member list",
			   m->daemon);
		propose_removal(c, m->daemon, NULL);
		if (d)
			d->received_us = now_us;
		return;
	}
}

/* "ID@IP:PORT" in one argument, or both in one each. */
static bool read_id(const Wire__Query *query, uint64_t *id,
		    const char **address)
{
	char *end;

	if (!query->n_arguments)
		return false;
	*id = strtoull(query->arguments[0], &end, 10);
	*address = *end == '@' ? end + 1 : NULL;
	if (!*address && query->n_arguments > 1)
		*address = query->arguments[1];
	return *id && end != query->arguments[0] && (!*end || *end == '@');
}

static bool add_member(struct control *c, uint64_t id, const char *address,
		       GError **error)
{
	struct raft_members members = *raft_current_members(c->raft);
	unsigned i;

	for (i = 0; i < members.nr; i++)
		if (members.member[i].id == id) {
			g_set_error(error, CW_ERROR, CW_ERROR_CONFLICT,
				    "control id %" PRIu64 " is in use; give "
				    "the VM an id that was never used",
				    id);
			return false;
		}
	if (!address || !strchr(address, ':') ||
	    members.nr == RAFT_MEMBERS_MAX) {
		g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
			    "give ID and IP:PORT of the new control VM; a "
			    "group has at most %d",
			    RAFT_MEMBERS_MAX);
		return false;
	}
	members.member[members.nr++] = (struct raft_member){ id, false };
	if (!raft_change_members(c->raft, &members, error))
		return false;
	control_link_set(c, id, address);
	return true;
}

static bool change_member(struct control *c, uint64_t id, bool remove,
			  GError **error)
{
	struct raft_members members = *raft_current_members(c->raft);
	unsigned i;

	for (i = 0; i < members.nr; i++)
		if (members.member[i].id == id)
			break;
	if (i == members.nr) {
		g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
			    "control id %" PRIu64 " is not in the group; see "
			    "comfreywheelctl member list",
			    id);
		return false;
	}
	if (remove)
		members.member[i] = members.member[--members.nr];
	else
		members.member[i].voter = true;
	return raft_change_members(c->raft, &members, error);
}

bool control_member_command(struct control *c, const Wire__Query *query,
			    GError **error)
{
	bool remove = !strcmp(query->command, "member-remove");
	const char *address = NULL;
	uint64_t id = 0;

	if (read_id(query, &id, &address)) {
		if (!strcmp(query->command, "member-add"))
			return add_member(c, id, address, error);
		return change_member(c, id, remove, error);
	}
	if (remove && query->n_arguments == 1 &&
	    control_state_member(&c->state, query->arguments[0]))
		return propose_removal(c, query->arguments[0], error);
	g_set_error(error, CW_ERROR, CW_ERROR_USAGE,
		    "no such member; give the id of a control VM or the name "
		    "of a daemon, see comfreywheelctl member list");
	return false;
}
