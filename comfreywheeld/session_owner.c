#include "session_client_internal.h"

static void answer_store(struct session_client *client,
			 const struct bus_return_path *from,
			 const Wire__SessionStore *store, int64_t now_us)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__SessionStored stored = WIRE__SESSION_STORED__INIT;
	struct position pos = { 0 };

	if (store->position) {
		pos.term = store->position->term;
		pos.lsn = store->position->lsn;
	}
	stored.request = store->request;
	stored.members_version = store->members_version;
	stored.refused = !session_positions_store(
		&client->positions, store->session, store->cluster, pos,
		store->members_version, now_us);
	envelope.body_case = WIRE__ENVELOPE__BODY_SESSION_STORED;
	envelope.session_stored = &stored;
	bus_reply(client->bus, from, &envelope);
}

static void answer_lookup(struct session_client *client,
			  const struct bus_return_path *from,
			  const Wire__SessionLookup *lookup, int64_t now_us)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__SessionPosition reply = WIRE__SESSION_POSITION__INIT;
	Wire__Position pos = WIRE__POSITION__INIT;
	struct session_answer answer = { 0 };

	reply.request = lookup->request;
	reply.members_version = lookup->members_version;
	reply.refused = !session_positions_lookup(
		&client->positions, lookup->session, lookup->cluster,
		lookup->members_version, now_us, &answer);
	reply.found = answer.found;
	pos.term = answer.pos.term;
	pos.lsn = answer.pos.lsn;
	reply.position = &pos;
	reply.complete_for_us = MAX(answer.complete_for_us, 0);
	envelope.body_case = WIRE__ENVELOPE__BODY_SESSION_POSITION;
	envelope.session_position = &reply;
	bus_reply(client->bus, from, &envelope);
}

bool session_client_request(struct session_client *client,
			    const struct bus_return_path *from,
			    const Wire__Envelope *envelope, int64_t now_us)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_SESSION_STORE:
		answer_store(client, from, envelope->session_store, now_us);
		return true;
	case WIRE__ENVELOPE__BODY_SESSION_LOOKUP:
		answer_lookup(client, from, envelope->session_lookup, now_us);
		return true;
	default:
		return false;
	}
}
