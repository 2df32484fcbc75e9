#ifndef RAFT_WIRE_H
#define RAFT_WIRE_H

#include "messages.pb-c.h"
#include "raft.h"

/**
 * DOC: Conversion of Raft messages to and from their protobuf form.
 */

/**
 * struct raft_wire - a Raft message in its protobuf form
 * @pointers: array of pointers to @entries, as protobuf-c requires it
 *
 * Entry data and snapshot bytes stay owned by the struct raft_message that it
 * was made from.
 */
struct raft_wire {
	Wire__RaftMessage message;
	Wire__RaftEntry *entries;
	Wire__RaftEntry **pointers;
};

void raft_wire_init(struct raft_wire *wire, const struct raft_message *msg);
void raft_wire_finish(struct raft_wire *wire);
/**
 * raft_wire_read() - convert a received message
 * @msg: its entry data and snapshot bytes stay owned by @wire
 * Return: false if a message type or entry kind is unknown; otherwise the
 *         caller frees @msg->entries
 */
bool raft_wire_read(const Wire__RaftMessage *wire, struct raft_message *msg);

#endif
