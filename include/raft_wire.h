#ifndef RAFT_WIRE_H
#define RAFT_WIRE_H

#include "messages.pb-c.h"
#include "raft.h"

/**
 * DOC: Raft messages in the form that is sent between control VMs.
 */

/**
 * struct raft_wire - a Raft message in its wire form
 *
 * Bytes stay owned by the struct raft_message it was made of.
 */
struct raft_wire {
	Wire__RaftMessage message;
	Wire__RaftEntry *entries;
	Wire__RaftEntry **pointers;
};

void raft_wire_init(struct raft_wire *wire, const struct raft_message *msg);
void raft_wire_finish(struct raft_wire *wire);
/**
 * raft_wire_read() - the message of a wire form; its bytes stay @wire's
 * Return: false if a type or kind is unknown; else free @msg->entries
 */
bool raft_wire_read(const Wire__RaftMessage *wire, struct raft_message *msg);

#endif
