#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "peer_table.h"
#include "raft_wire.h"
#include "sighting_wire.h"

#include <jansson.h>

/* Maximum number of known control VM addresses. */
#define MAX_PEERS 32

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct control_peer *peer = ch->data;

	control_handle_message(peer->node, ch, envelope);
}

static void on_closed(struct channel *ch)
{
	struct control_peer *peer = ch->data;

	peer->last_used_us = clock_now_us();
	peer->retry_us = peer->last_used_us + CHANNEL_RETRY_INTERVAL_US;
}

/* Members that hear a leader have nothing to ask for unless they are leaving. */
static bool has_to_ask(const struct control_node *node)
{
	bool is_member = control_group_own_entry(node);

	if (node->stopping)
		return is_member;
	return !is_member || !raft_leader(node->raft);
}

static void send_join(struct control_peer *peer)
{
	struct control_node *node = peer->node;
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Join join = WIRE__JOIN__INIT;

	if (!node->raft || !channel_is_open(&peer->channel) ||
	    !has_to_ask(node))
		return;
	join.id = node->id;
	join.leaving = node->stopping;
	envelope.body_case = WIRE__ENVELOPE__BODY_JOIN;
	envelope.join = &join;
	channel_send(&peer->channel, &envelope);
}

/* Requests sent while the VM was unreachable are lost, so they are repeated. */
static void on_opened(struct channel *ch)
{
	struct control_peer *peer = ch->data;
	struct raft *raft = peer->node->raft;
	unsigned i;

	send_join(peer);
	for (i = 0; raft && i < raft_current_members(raft)->nr; i++) {
		uint64_t id = raft_current_members(raft)->member[i].id;

		if ((uint32_t)(id >> 32) == peer->ip)
			raft_peer_connected(raft, id, clock_now_us());
	}
}

static const struct channel_events peer_events = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void connect_peer(struct control_peer *peer)
{
	channel_connect(&peer->channel, peer->node->loop, peer->ip,
			peer->node->config.port, &peer_events, peer,
			&peer->retry_us);
}

static void peer_free(struct control_peer *peer)
{
	channel_close(&peer->channel);
	g_free(peer);
}

static bool is_member_address(const struct control_node *node, uint32_t ip)
{
	const struct raft_members *m;
	unsigned i;

	if (!node->raft)
		return false;
	m = raft_current_members(node->raft);
	for (i = 0; i < m->nr; i++)
		if ((uint32_t)(m->member[i].id >> 32) == ip)
			return true;
	return false;
}

static struct peer_use use_of(const struct control_peer *peer)
{
	return (struct peer_use){
		.connected = channel_is_open(&peer->channel),
		.needed = is_member_address(peer->node, peer->ip),
		.last_used_us = MAX(peer->last_used_us, peer->join_us),
	};
}

/* Return: false if every place is taken by a VM that is connected or a member. */
static bool make_room(struct control_node *node)
{
	struct peer_use entries[MAX_PEERS];
	guint i;
	int victim;

	if (node->peers->len < MAX_PEERS)
		return true;
	for (i = 0; i < node->peers->len; i++)
		entries[i] = use_of(node->peers->pdata[i]);
	victim = peer_table_victim(entries, node->peers->len);
	if (victim < 0)
		return false;
	peer_free(g_ptr_array_remove_index_fast(node->peers, (guint)victim));
	return true;
}

static void forget_peers(struct control_node *node, int64_t now_us)
{
	struct peer_use entries[MAX_PEERS];
	guint nr = node->peers->len;
	guint i;

	for (i = 0; i < nr; i++)
		entries[i] = use_of(node->peers->pdata[i]);
	/* From the last one on, as the last one takes the place of each. */
	while (i-- > 0) {
		if (peer_is_forgotten(entries, nr, i, now_us))
			peer_free(
				g_ptr_array_remove_index_fast(node->peers, i));
	}
}

struct control_peer *control_peer(struct control_node *node, uint32_t ip)
{
	struct control_peer *peer;
	guint i;

	if (!ip || ip == node->config.ip)
		return NULL;
	for (i = 0; i < node->peers->len; i++) {
		peer = node->peers->pdata[i];
		if (peer->ip == ip)
			return peer;
	}
	if (!make_room(node))
		return NULL;
	peer = g_new0(struct control_peer, 1);
	peer->last_used_us = clock_now_us();
	peer->node = node;
	peer->ip = ip;
	peer->channel.stream.fd = -1;
	g_ptr_array_add(node->peers, peer);
	connect_peer(peer);
	return peer;
}

void control_peers_free(struct control_node *node)
{
	guint i;

	for (i = 0; i < node->peers->len; i++)
		peer_free(node->peers->pdata[i]);
	g_ptr_array_free(node->peers, TRUE);
}

static void send_to_ip(struct control_node *node, uint32_t ip,
		       const Wire__Envelope *envelope)
{
	struct control_peer *peer = control_peer(node, ip);

	if (!peer)
		return;
	connect_peer(peer);
	channel_send(&peer->channel, envelope);
}

void control_send_raft(struct control_node *node,
		       const struct raft_message *msg)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	struct raft_wire wire;

	raft_wire_init(&wire, msg);
	envelope.body_case = WIRE__ENVELOPE__BODY_RAFT;
	envelope.raft = &wire.message;
	send_to_ip(node, (uint32_t)(msg->to >> 32), &envelope);
	raft_wire_finish(&wire);
}

static void send_to_all(struct control_node *node,
			const Wire__Envelope *envelope)
{
	guint i;

	for (i = 0; i < node->peers->len; i++) {
		struct control_peer *peer = node->peers->pdata[i];

		if (channel_is_open(&peer->channel))
			channel_send(&peer->channel, envelope);
	}
}

void control_broadcast_sighting(struct control_node *node,
				const struct sighting *upstream)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Sighting sighting;

	sighting_pack(upstream, clock_now_us(), &sighting);
	envelope.body_case = WIRE__ENVELOPE__BODY_SIGHTING;
	envelope.sighting = &sighting;
	send_to_all(node, &envelope);
}

static void handle_raft(struct control_node *node,
			const Wire__RaftMessage *wire)
{
	struct raft_message msg;

	if (!node->raft || !raft_wire_read(wire, &msg))
		return;
	control_peer(node, (uint32_t)(msg.from >> 32));
	raft_receive(node->raft, &msg, clock_now_us());
	g_free(msg.entries);
	control_leadership_update(node);
}

void control_merge_sighting(struct control_node *node, const Wire__Sighting *in,
			    int64_t now_us)
{
	struct sighting upstream;

	sighting_unpack(in, now_us, &upstream);
	if (control_is_foreign(node, &upstream) ||
	    !control_admit_sighting(node, &upstream))
		return;
	if (sightings_merge(&node->sightings, &upstream) == SIGHTING_CHANGED)
		node->views_due = true;
}

static void answer_join(struct control_node *node, struct channel *from,
			const Wire__Join *join)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Peers peers = WIRE__PEERS__INIT;
	uint64_t ids[RAFT_MEMBERS_MAX + MAX_PEERS];
	guint i;

	if (node->raft) {
		const struct raft_members *m = raft_current_members(node->raft);

		for (i = 0; i < m->nr; i++)
			ids[peers.n_ids++] = m->member[i].id;
		peers.leader = raft_leader(node->raft);
		peers.may_stop = join->leaving &&
				 control_group_may_stop(node, join->id);
	}
	/* Addresses of VMs that are gone would be told on and on. */
	for (i = 0; i < node->peers->len; i++) {
		const struct control_peer *peer = node->peers->pdata[i];

		if (channel_is_open(&peer->channel))
			ids[peers.n_ids++] = (uint64_t)peer->ip << 32;
	}
	peers.ids = ids;
	envelope.body_case = WIRE__ENVELOPE__BODY_PEERS;
	envelope.peers = &peers;
	channel_send(from, &envelope);
}

/*
 * The sender runs, and its connection was opened after this process started. So
 * if it has another identity than the leader that this VM heard before its start
 * and the same address, that leader lost its disk and will not come back.
 */
static void note_identity(struct control_node *node, uint64_t id)
{
	uint64_t leader = node->raft ? raft_restored_leader(node->raft) : 0;

	if (!leader || leader == id || leader >> 32 != id >> 32)
		return;
	event_log("former_leader_ended", "{s:I, s:I}", "leader",
		  (json_int_t)leader, "replaced_by", (json_int_t)id);
	raft_restored_leader_ended(node->raft, clock_now_us());
}

static void handle_join(struct control_node *node, struct channel *from,
			const Wire__Join *join)
{
	struct control_peer *peer =
		control_peer(node, (uint32_t)(join->id >> 32));

	note_identity(node, join->id);
	if (peer) {
		peer->join_id = join->id;
		peer->join_us = clock_now_us();
		peer->leaving = join->leaving;
		node->group_due = node->group_due || join->leaving;
	}
	answer_join(node, from, join);
}

static void handle_peers(struct control_node *node, const Wire__Peers *peers)
{
	size_t i;

	if (node->stopping && peers->may_stop)
		node->may_stop = true;
	for (i = 0; i < peers->n_ids; i++)
		control_peer(node, (uint32_t)(peers->ids[i] >> 32));
}

void control_handle_message(struct control_node *node, struct channel *from,
			    const Wire__Envelope *envelope)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_RAFT:
		handle_raft(node, envelope->raft);
		return;
	case WIRE__ENVELOPE__BODY_SIGHTING:
		control_merge_sighting(node, envelope->sighting,
				       clock_now_us());
		return;
	case WIRE__ENVELOPE__BODY_JOIN:
		handle_join(node, from, envelope->join);
		return;
	case WIRE__ENVELOPE__BODY_PEERS:
		handle_peers(node, envelope->peers);
		return;
	default:
		from->malformed++;
		return;
	}
}

void control_peers_tick(struct control_node *node, int64_t now_us)
{
	guint i;

	forget_peers(node, now_us);
	for (i = 0; node->raft && i < raft_current_members(node->raft)->nr; i++)
		control_peer(node, (uint32_t)(raft_current_members(node->raft)
						      ->member[i]
						      .id >>
					      32));
	for (i = 0; i < node->peers->len; i++)
		send_join(node->peers->pdata[i]);
}

void control_peers_connect(struct control_node *node)
{
	guint i;

	for (i = 0; i < node->peers->len; i++)
		connect_peer(node->peers->pdata[i]);
}
