#ifndef ENTRY_H
#define ENTRY_H

#include "sightings.h"
#include "statement.h"
#include "timer_service.h"

#include <ev.h>

/**
 * DOC: An entry daemon: sessions of callers in front of upstreams.
 *
 * Knows no wire format. A protocol for callers feeds sessions and is told
 * their answers; a protocol for upstreams opens links and tells what they
 * answered. Routing, limits, retries and recovery are in between.
 */

enum read_rule {
	/** every acknowledged commit is seen */
	READ_AT_PRIMARY,
	/** own commits and all but the latest others */
	READ_OWN_WRITES,
	/** all but the latest commits */
	READ_BOUNDED,
};

/**
 * struct entry_route - what callers of one database get
 * @service: name of the service that runs it
 * @statement_us: longest time for one statement
 * @target_us: time within which a caller wants its answer
 * @priority: 0 is served first
 * @staleness_us: age from which commits must be seen, 0 for none
 */
struct entry_route {
	char *database;
	char *service;
	enum read_rule rule;
	int64_t statement_us;
	int64_t target_us;
	unsigned priority;
	int64_t staleness_us;
};

struct entry_pool {
	char *service;
	unsigned max_connections;
	unsigned sync_replicas;
};

/**
 * struct entry_table - routes and pools of one version
 * @routes: database to struct entry_route
 * @pools: service to struct entry_pool
 * @transaction_idle_us: a transaction that rests longer may be ended
 */
struct entry_table {
	int refs;
	uint64_t version;
	GHashTable *routes;
	GHashTable *pools;
	int64_t transaction_idle_us;
};

struct entry_table *entry_table_new(uint64_t version);
struct entry_table *entry_table_ref(struct entry_table *table);
void entry_table_unref(struct entry_table *table);
/** entry_table_add_route() - takes over @route's texts */
void entry_table_add_route(struct entry_table *table,
			   const struct entry_route *route);
void entry_table_add_pool(struct entry_table *table,
			  const struct entry_pool *pool);

/**
 * struct caller_ops - a protocol towards callers
 * @started: the session may send statements
 * @refused: the session cannot start; it is over
 * @answer: answer to the outstanding statement
 * @close: close the connection; the session is over
 */
struct caller_ops {
	void (*started)(void *wire);
	void (*refused)(void *wire, enum refusal refusal, const char *detail);
	void (*answer)(void *wire, const struct statement_answer *answer);
	void (*close)(void *wire);
};

enum link_verb {
	LINK_BEGIN,
	LINK_BEGIN_READ,
	LINK_ROLLBACK,
	LINK_RESET,
	LINK_SET,
	LINK_PREPARE,
	/** asks where its log ends, see upstream_ops.read_status */
	LINK_STATUS,
	/** makes a primary of a term below @after.term a replica */
	LINK_DEMOTE,
	/** a caller's statement */
	LINK_FORWARD,
};

/**
 * struct link_command - one command to an upstream
 * @after: position that the upstream must hold, term 0 for none
 * @name: of a value or prepared statement
 * @value: of a value; shape of a prepared statement
 * @statement: caller's statement to forward; an execute goes to @name
 */
struct link_command {
	enum link_verb verb;
	struct position after;
	const char *name;
	const char *value;
	bool writes;
	const struct statement *statement;
};

struct link;

/**
 * struct upstream_status - what an upstream says of its log
 * @received: end of the log that it holds, applied or not
 */
struct upstream_status {
	bool primary;
	struct position received;
};

/**
 * struct upstream_ops - a protocol towards upstreams
 * @open: connect and log in; reports link_opened() or link_closed() later.
 *        Return: NULL if there is no socket
 * @send: queue one command; each gets one link_replied()
 * @flush: write what was queued
 * @close: close without a report
 * @read_status: decode the answer to LINK_STATUS or LINK_DEMOTE
 */
struct upstream_ops {
	void *(*open)(struct link *link, const char *address,
		      const char *service, const char *id, void *data);
	void (*send)(void *wire, const struct link_command *command);
	void (*flush)(void *wire);
	void (*close)(void *wire);
	bool (*read_status)(const struct statement_answer *answer,
			    struct upstream_status *status);
};

void link_opened(struct link *link, struct position position);
void link_replied(struct link *link, const struct statement_answer *answer);
/**
 * link_closed() - the connection is over
 * @refusal: why the log-in was refused, REFUSAL_NONE if it broke
 */
void link_closed(struct link *link, enum refusal refusal);

/**
 * struct entry_config - start-up values
 * @ip: own IPv4 address, host order, for statements that others relay
 * @port: port on which daemons listen for each other, the same everywhere
 * @seeds: uint32_t IPv4 addresses of control VMs
 * @grace_us: time between the order to stop and the kill
 * @decode: read a configuration document; NULL if it cannot be read
 */
struct entry_config {
	const char *name;
	const char *availability_zone;
	uint32_t ip;
	uint16_t port;
	GArray *seeds;
	int64_t grace_us;
	const struct upstream_ops *upstream_ops;
	struct entry_table *(*decode)(GBytes *document);
	void *data;
};

struct entry;
struct session;

/** entry_new() - Return: NULL if the port for other daemons is taken */
struct entry *entry_new(struct ev_loop *loop, struct timer_service *timers,
			const struct entry_config *config, GError **error);
void entry_free(struct entry *entry);

/** entry_ready() - whether new callers should come here */
bool entry_ready(const struct entry *entry);
void entry_seeds(struct entry *entry, const GArray *seeds);

/** entry_drain() - take no new callers and let those here finish */
void entry_drain(struct entry *entry);
/** entry_drained() - whether no caller is left, or none may stay */
bool entry_drained(const struct entry *entry);
/** entry_listens() - whether new connections are still taken */
bool entry_listens(const struct entry *entry);

void entry_print_metrics(struct entry *entry, GString *out);

/** entry_session_new() - a caller connected */
struct session *entry_session_new(struct entry *entry,
				  const struct caller_ops *ops, void *wire);
/** session_start() - the caller named its database */
void session_start(struct session *s, const char *database);
/**
 * session_statement() - one statement; none may be outstanding
 * @statement: its texts are taken over
 */
void session_statement(struct session *s, struct statement *statement);
/** session_closed() - the caller's connection is over; frees the session */
void session_closed(struct session *s);

#endif
