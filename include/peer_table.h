#ifndef PEER_TABLE_H
#define PEER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which address a bounded table of other processes gives up for a new one.
 *
 * Pure functions. VMs are replaced at new addresses for as long as a process
 * runs, so the addresses of those that are gone must make room.
 */

/** An address is forgotten if it was not used for this long, microseconds. */
#define PEER_FORGET_AFTER_US (15 * 1000000ll)

/**
 * struct peer_use - one entry of the table
 * @connected: whether a connection to it is open
 * @needed: whether it must be kept although no connection is open
 * @last_used_us: when it was last connected, heard or named by one that is
 */
struct peer_use {
	bool connected;
	bool needed;
	int64_t last_used_us;
};

/**
 * peer_table_victim() - choose the entry that makes room for another one
 * Return: index of the entry that was not used for the longest time, -1 if all
 *         are connected or needed
 */
int peer_table_victim(const struct peer_use *entries, unsigned nr);

/**
 * peer_is_forgotten() - whether entry @index is of no use any more
 *
 * A process that is connected to nobody forgets nobody: its addresses are all
 * it has to find the others again.
 */
bool peer_is_forgotten(const struct peer_use *entries, unsigned nr,
		       unsigned index, int64_t now_us);

#endif
