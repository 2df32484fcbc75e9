#ifndef LINK_EVICTION_H
#define LINK_EVICTION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which idle connection makes room for one of another account.
 *
 * A connection serves one account. The load is many accounts over a limited
 * number of connections, each of which takes a slot of the upstream to open.
 * What is closed should be what callers miss least: connections of the proxy,
 * then those of an account that keeps another idle one, then those that were
 * not used for the longest time.
 */

/**
 * struct eviction_option - one connection
 * @usable: whether it may be closed: idle, and of another account
 * @own: whether it belongs to the proxy itself
 * @spare: whether its account has another idle connection there
 * @idle_since_us: when it was last used
 */
struct eviction_option {
	bool usable;
	bool own;
	bool spare;
	int64_t idle_since_us;
};

/**
 * link_eviction_choose() - choose the connection to close
 * Return: its index, -1 if none may be closed
 */
int link_eviction_choose(const struct eviction_option *options, unsigned nr);

#endif
