#include "internal.h"

#include "clock.h"
#include "event_log.h"
#include "raft_wire.h"

#include <jansson.h>

/* Time between attempts to reach a control VM, microseconds: after a stop of
 * everything an election waits for the connections. */
#define RETRY_US (40 * 1000ll)
/* Time for one attempt: a lost opening packet is sent again only after 1 s. */
#define CONNECT_US (300 * 1000ll)
/* Addresses of control VMs that are kept. */
#define PEERS_MAX 32

static void host_of(uint32_t ip, char host[16])
{
	g_snprintf(host, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		   ip >> 8 & 255, ip & 255);
}

static void on_message(struct channel *ch, const Wire__Envelope *envelope)
{
	struct control_peer *peer = ch->data;

	control_message(peer->node, ch, envelope);
}

static void on_closed(struct channel *ch)
{
	struct control_peer *peer = ch->data;

	peer->retry_us = clock_now_us() + RETRY_US;
}

static const struct channel_events peer_events = {
	.message = on_message,
	.closed = on_closed,
};

static void connect_peer(struct control_peer *peer, int64_t now_us)
{
	struct stream *stream = &peer->channel.stream;
	char host[16];

	if (stream_is_open(stream) && stream->connecting &&
	    now_us >= peer->retry_us + CONNECT_US - RETRY_US)
		channel_close(&peer->channel);
	if (stream_is_open(stream) || now_us < peer->retry_us)
		return;
	peer->retry_us = now_us + RETRY_US;
	host_of(peer->ip, host);
	if (!channel_connect(&peer->channel, peer->node->loop, host,
			     peer->node->config.port, &peer_events, peer))
		event_log("peer_unreachable", "{s:s}", "address", host);
}

/* Return: NULL for the own address, or when too many are known. */
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
	if (node->peers->len >= PEERS_MAX)
		return NULL;
	peer = g_new0(struct control_peer, 1);
	peer->node = node;
	peer->ip = ip;
	peer->channel.stream.fd = -1;
	g_ptr_array_add(node->peers, peer);
	connect_peer(peer, clock_now_us());
	return peer;
}

void control_peers_free(struct control_node *node)
{
	guint i;

	for (i = 0; i < node->peers->len; i++) {
		struct control_peer *peer = node->peers->pdata[i];

		channel_close(&peer->channel);
		g_free(peer);
	}
	g_ptr_array_free(node->peers, TRUE);
}

static void send_to_ip(struct control_node *node, uint32_t ip,
		       const Wire__Envelope *envelope)
{
	struct control_peer *peer = control_peer(node, ip);

	if (!peer)
		return;
	connect_peer(peer, clock_now_us());
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

void control_fill_sighting(Wire__Sighting *out, const struct sighting *one,
			   int64_t now_us)
{
	wire__sighting__init(out);
	out->id = one->id;
	out->service = one->service;
	out->address = one->address;
	out->availability_zone = one->availability_zone;
	out->primary = one->primary;
	out->leaving = one->leaving;
	out->gone = one->gone;
	out->born_ms = one->born_ms;
	out->sequence = one->sequence;
	out->age_us = (uint64_t)MAX(now_us - one->heard_us, 0);
	out->claim_age_us = (uint64_t)MAX(now_us - one->claimed_us, 0);
}

void control_tell_peers(struct control_node *node, const struct sighting *one)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Sighting sighting;
	guint i;

	control_fill_sighting(&sighting, one, clock_now_us());
	envelope.body_case = WIRE__ENVELOPE__BODY_SIGHTING;
	envelope.sighting = &sighting;
	for (i = 0; i < node->peers->len; i++) {
		struct control_peer *peer = node->peers->pdata[i];

		if (channel_is_open(&peer->channel))
			channel_send(&peer->channel, &envelope);
	}
}

static void take_raft(struct control_node *node, const Wire__RaftMessage *wire)
{
	struct raft_message msg;

	if (!node->raft || !raft_wire_read(wire, &msg))
		return;
	control_peer(node, (uint32_t)(msg.from >> 32));
	raft_receive(node->raft, &msg, clock_now_us());
	g_free(msg.entries);
	control_lead_update(node);
}

void control_take_sighting(struct control_node *node, const Wire__Sighting *in,
			   int64_t now_us)
{
	struct sighting one = {
		.id = in->id,
		.service = in->service,
		.address = in->address,
		.availability_zone = in->availability_zone,
		.primary = in->primary,
		.leaving = in->leaving,
		.gone = in->gone,
		.born_ms = in->born_ms,
		.sequence = in->sequence,
		.heard_us = now_us - (int64_t)in->age_us,
		.claimed_us = now_us - (int64_t)in->claim_age_us,
	};

	if (sightings_merge(&node->sightings, &one) == SIGHTING_CHANGED)
		node->views_due = true;
}

static void answer_join(struct control_node *node, struct channel *from)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Peers peers = WIRE__PEERS__INIT;
	uint64_t ids[RAFT_NODES_MAX + PEERS_MAX];
	guint i;

	if (node->raft) {
		const struct raft_members *m = raft_current_members(node->raft);

		for (i = 0; i < m->nr; i++)
			ids[peers.n_ids++] = m->member[i].id;
		peers.leader = raft_leader(node->raft);
	}
	for (i = 0; i < node->peers->len; i++)
		ids[peers.n_ids++] =
			(uint64_t)((struct control_peer *)node->peers->pdata[i])
				->ip
			<< 32;
	peers.ids = ids;
	envelope.body_case = WIRE__ENVELOPE__BODY_PEERS;
	envelope.peers = &peers;
	channel_send(from, &envelope);
}

static void take_join(struct control_node *node, struct channel *from,
		      const Wire__Join *join)
{
	struct control_peer *peer =
		control_peer(node, (uint32_t)(join->id >> 32));

	if (peer) {
		peer->waiting_id = join->id;
		peer->waiting_us = clock_now_us();
	}
	answer_join(node, from);
}

static void take_peers(struct control_node *node, const Wire__Peers *peers)
{
	size_t i;

	for (i = 0; i < peers->n_ids; i++)
		control_peer(node, (uint32_t)(peers->ids[i] >> 32));
}

void control_message(struct control_node *node, struct channel *from,
		     const Wire__Envelope *envelope)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_RAFT:
		take_raft(node, envelope->raft);
		return;
	case WIRE__ENVELOPE__BODY_SIGHTING:
		control_take_sighting(node, envelope->sighting, clock_now_us());
		return;
	case WIRE__ENVELOPE__BODY_JOIN:
		take_join(node, from, envelope->join);
		return;
	case WIRE__ENVELOPE__BODY_PEERS:
		take_peers(node, envelope->peers);
		return;
	default:
		from->malformed++;
		return;
	}
}

static bool is_voter(const struct control_node *node)
{
	const struct raft_members *m = raft_current_members(node->raft);
	unsigned i;

	for (i = 0; i < m->nr; i++)
		if (m->member[i].id == node->id)
			return m->member[i].voter;
	return false;
}

/* A VM that is no voter, or hears no leader, asks every known VM in. */
static void ask_in(struct control_node *node)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__Join join = WIRE__JOIN__INIT;
	guint i;

	if (!node->raft || (is_voter(node) && raft_leader(node->raft)))
		return;
	join.id = node->id;
	envelope.body_case = WIRE__ENVELOPE__BODY_JOIN;
	envelope.join = &join;
	for (i = 0; i < node->peers->len; i++) {
		struct control_peer *peer = node->peers->pdata[i];

		if (channel_is_open(&peer->channel))
			channel_send(&peer->channel, &envelope);
	}
}

void control_peers_tick(struct control_node *node, int64_t now_us)
{
	guint i;

	for (i = 0; node->raft && i < raft_current_members(node->raft)->nr; i++)
		control_peer(node, (uint32_t)(raft_current_members(node->raft)
						      ->member[i]
						      .id >>
					      32));
	ask_in(node);
}

void control_peers_connect(struct control_node *node, int64_t now_us)
{
	guint i;

	for (i = 0; i < node->peers->len; i++)
		connect_peer(node->peers->pdata[i], now_us);
}
