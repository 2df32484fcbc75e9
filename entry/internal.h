#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include "channel.h"
#include "counters.h"
#include "entry.h"
#include "home_policy.h"
#include "histogram.h"
#include "read_bound.h"
#include "send_window.h"
#include "urgency.h"

/** Time between looks at timers of links, hosts and sessions, microseconds. */
#define ENTRY_TICK_US (50 * 1000ll)
/** Time between reports to control when there is no news, microseconds. */
#define ENTRY_WATCH_US (800 * 1000ll)
/** Time to connect and log in, microseconds: log-ins queue for a slot. */
#define ENTRY_LOGIN_US (1500 * 1000ll)
/** A host that answered nothing for so long is tried elsewhere. */
#define ENTRY_SILENT_US (300 * 1000ll)
/** An answer that nobody waits for any more is awaited so long. */
#define ENTRY_ABANDON_US (2000 * 1000ll)
/** Age of the newest sample at which the primary is asked for one. */
#define ENTRY_SAMPLE_US (400 * 1000ll)
/** Attempts of one statement, the first included. */
#define ENTRY_ATTEMPTS 6

enum entry_counter {
	ENTRY_COUNT_SESSIONS,
	ENTRY_COUNT_STATEMENTS,
	ENTRY_COUNT_DONE,
	ENTRY_COUNT_REFUSED,
	ENTRY_COUNT_FAILED,
	ENTRY_COUNT_UNKNOWN,
	ENTRY_COUNT_RETRIES,
	ENTRY_COUNT_PRIMARY_READS,
	ENTRY_COUNT_REPLICA_READS,
	ENTRY_COUNT_BEHIND,
	ENTRY_COUNT_NOT_PRIMARY,
	ENTRY_COUNT_LINKS_OPENED,
	ENTRY_COUNT_LINKS_REFUSED,
	ENTRY_COUNT_LINKS_BROKEN,
	ENTRY_COUNT_SAMPLES,
	ENTRY_COUNT_VIEWS,
	ENTRY_COUNT_RELAYED,
	ENTRY_COUNT_RELAYS_LOST,
	ENTRY_COUNT_GUESTS,
	ENTRY_COUNT_WAITING,
	ENTRY_COUNT_OPEN_SESSIONS,
	ENTRY_COUNT_CONFIG_VERSION,
	ENTRY_NR_COUNTERS,
};

/**
 * struct host - one upstream
 * @far: whether it is in another availability zone
 * @revision: of the sighting that was last followed
 * @links: struct link, open or being opened
 * @window: statements that may be out there at once
 * @seen: newest log position seen there, at @seen_us
 * @answered_us: when it last answered anything
 * @failing_us: first failure since then, 0 if none
 * @connect_after_us: earliest next attempt to connect
 * @busy_until_us: refused work for lack of room
 * @lag_us: how far it was behind the primary, at @lag_at_us
 * @lacked: position for which it refused a read, at @lacked_at_us
 * @full_at_us: when it last took no more connections
 * @saturated_us: when work for it was last kept back by its window
 * @not_primary_until_us: refused work that only the primary does
 */
struct host {
	struct entry *entry;
	struct service *service;
	char *id;
	char *address;
	bool far;
	uint64_t revision;
	bool leaving;
	bool gone;
	GPtrArray *links;
	struct send_window window;
	struct position seen;
	int64_t seen_us;
	int64_t answered_us;
	int64_t failing_us;
	unsigned failures;
	int64_t connect_after_us;
	int64_t busy_until_us;
	int64_t lag_us;
	int64_t lag_at_us;
	struct position lacked;
	int64_t lacked_at_us;
	int64_t full_at_us;
	int64_t saturated_us;
	int64_t not_primary_until_us;
};

/** Time between summaries of the ordinary course, microseconds. */
#define ENTRY_SUMMARY_US (5 * 1000000ll)

/**
 * struct service_summary - what happened since the last summary
 * @writes: successes that wrote or committed
 * @waited_us: sum over successes, from arrival until a connection was found
 * @upstream_us: sum over successes of the time at the upstream
 * @refusals: by upstreams, by kind
 */
struct service_summary {
	unsigned done;
	unsigned writes;
	unsigned not_done;
	int64_t waited_us;
	int64_t upstream_us;
	unsigned refusals[REFUSAL_NR];
};

/**
 * struct service - the upstreams of one service and who waits for them
 * @waiting: struct session, in any order
 * @cost_us: time that a statement takes, by read rule, smoothed
 * @full_us: when work was last kept back for a full window
 * @used_us: when a session last asked for it
 * @sought_us: when its upstreams were last asked which of them is the primary
 */
struct service {
	struct entry *entry;
	char *name;
	GPtrArray *hosts;
	struct read_samples samples;
	GQueue waiting;
	int64_t cost_us[3];
	int64_t full_us;
	int64_t used_us;
	int64_t sought_us;
	bool dispatching;
	uint64_t dispatches;
	struct service_summary summary;
	int64_t summary_us;
};

enum link_state {
	LINK_OPENING,
	LINK_READY,
};

enum link_step {
	STEP_SETUP,
	STEP_BEGIN,
	STEP_STATEMENT,
	STEP_ROLLBACK,
	STEP_SAMPLE,
	/** of a handover, for no session */
	STEP_HANDOVER,
	/** its session has been answered already */
	STEP_ABANDONED,
};

/**
 * struct link - one connection to an upstream
 * @session: the session that holds it, NULL if none
 * @steps: enum link_step of commands without an answer, oldest first
 * @values: session values that are set there
 * @prepared: names that are prepared there
 * @in_transaction: whether a transaction is open there
 * @sent_us: when the oldest command without an answer was sent
 * @since_us: when it was opened or last used
 */
struct link {
	struct host *host;
	void *wire;
	enum link_state state;
	struct session *session;
	GArray *steps;
	GHashTable *values;
	GHashTable *prepared;
	bool in_transaction;
	int64_t sent_us;
	int64_t since_us;
};

enum transaction {
	TX_NONE,
	TX_OPEN,
	TX_FAILED,
};

enum request_phase {
	REQUEST_NONE,
	REQUEST_WAITING,
	REQUEST_SETUP,
	REQUEST_RUNNING,
	/** at a home daemon */
	REQUEST_RELAYED,
	/** until a connection to a home daemon is open */
	REQUEST_NO_HOME,
	/** in a transaction, to be sent again on the same link */
	REQUEST_PAUSED,
};

/**
 * struct session - one caller
 * @values: name to value, as acknowledged
 * @prepared: name to struct prepared
 * @number: names the session at home daemons
 * @home: home daemon that has its transaction or statement, NULL if none
 * @guest: whether it belongs to a caller of another daemon
 * @own: newest position that it committed, term 0 for none
 * @table: held while a transaction or request uses @route
 * @tx_arrived_us: when the transaction began
 * @tx_plain: whether the transaction may write
 * @tx_ran: whether a statement of the transaction was answered
 * @tx_wrote: whether a statement of the transaction wrote
 * @arrived_us: when the outstanding statement came
 * @dispatched: dispatch of its service in which it was last looked at
 * @classified: whether the three below are set
 * @needs_primary: whether only the primary can run it
 * @proof: whether a single read is wrapped in a transaction that only the
 *         primary grants
 * @need: position that the upstream must hold, term 0 for none
 * @avoid: upstream that failed it, NULL for none
 * @tried: name of the last upstream that it was sent to, NULL for none
 */
struct session {
	struct entry *entry;
	const struct caller_ops *ops;
	void *wire;
	GList member;
	uint64_t number;
	struct home_link *home;
	bool guest;
	char *database;
	GHashTable *values;
	GHashTable *prepared;
	struct read_need own;
	int64_t active_us;
	bool starting;
	bool closing;

	struct entry_table *table;
	const struct entry_route *route;
	struct service *service;
	enum transaction tx;
	int64_t tx_arrived_us;
	bool tx_plain;
	bool tx_ran;
	bool tx_wrote;

	struct statement statement;
	enum request_phase phase;
	int64_t arrived_us;
	int64_t placed_us;
	uint64_t dispatched;
	int timer;
	struct link *link;
	GList waiting;
	bool classified;
	bool needs_primary;
	bool proof;
	struct read_need need;
	const struct host *avoid;
	char *tried;
	unsigned attempts;
	unsigned setup;
	enum refusal last_refusal;
};

struct prepared {
	bool writes;
	char *shape;
	char *alias;
};

/**
 * struct home_link - the connection to another entry daemon
 * @sessions: number to struct session that has a statement or transaction
 *            there
 * @turned_away_us: when it last said that it takes no new work
 */
struct home_link {
	struct entry *entry;
	uint32_t ip;
	struct channel channel;
	int64_t connect_us;
	int64_t turned_away_us;
	GHashTable *sessions;
};

/**
 * struct guest_link - a connection on which another daemon relays statements
 * @guests: number to struct guest
 */
struct guest_link {
	struct entry *entry;
	struct channel channel;
	GHashTable *guests;
	GList member;
	bool closed;
};

struct roster_entry {
	char *name;
	char *availability_zone;
	uint32_t ip;
};

enum handover_phase {
	HANDOVER_STOPPING,
	HANDOVER_FOLLOWING,
	HANDOVER_DONE,
};

/**
 * struct handover - an order of control to stop a primary for its successor
 * @number: of the order, 0 for none yet
 * @end: end of the log of the primary that was stopped
 * @until_us: when it is given up; once done, until when it is reported
 * @asked: whether a command has no answer yet
 */
struct handover {
	uint64_t number;
	enum handover_phase phase;
	char *from;
	char *to;
	struct position end;
	int64_t until_us;
	bool asked;
	bool complete;
	int timer;
};

/** struct control_link - the connection to one control VM */
struct control_link {
	struct entry *entry;
	uint32_t ip;
	struct channel channel;
	int64_t connect_us;
	int64_t named_us;
	bool fresh;
	GHashTable *roster;
};

/**
 * struct entry - an entry daemon
 * @leader_heard_us: when the control leader was last found to be heard
 * @plan: service to struct home_set, by @plan_daemons
 * @plan_daemons: struct roster_entry, copies: control VMs come and go
 * @plan_due: whether the roster or the pools changed since
 * @homes: address to struct home_link
 */
struct entry {
	struct ev_loop *loop;
	struct timer_service *timers;
	struct entry_config config;
	struct entry_table *table;
	struct sightings sightings;
	GPtrArray *control;
	uint32_t leader_ip;
	int64_t leader_heard_us;
	GHashTable *plan;
	GPtrArray *plan_daemons;
	bool plan_due;
	GHashTable *homes;
	GQueue guest_links;
	struct handover handover;
	ev_io listener;
	GHashTable *services;
	GHashTable *hosts;
	GQueue sessions;
	uint64_t next_number;
	bool fresh;
	bool was_ready;
	int64_t drain_us;
	int tick_timer;
	int watch_timer;
	int report_timer;
	uint32_t random;
	struct counter_set counters;
	int counter[ENTRY_NR_COUNTERS];
	struct histogram wait_times;
	struct histogram upstream_times;
	struct histogram answer_times[3];
};

static inline void entry_count(struct entry *entry, enum entry_counter which,
			       int64_t n)
{
	counter_add(&entry->counters, entry->counter[which], n);
}

uint32_t entry_random(struct entry *entry);

/* host.c */
struct service *service_get(struct entry *entry, const char *name);
void service_free(void *data);
void services_summarize(struct entry *entry, int64_t now_us);
void hosts_update(struct entry *entry);
struct host *host_primary(struct service *svc, int64_t now_us);
/** host_leads() - it granted what was asked of a primary at @asked_us */
void host_leads(struct host *host, int64_t asked_us);
/** host_room() - connections that may still be opened there */
unsigned host_room(const struct host *host, int64_t now_us);
struct link *host_idle_link(const struct host *host, const struct session *s);
unsigned host_busy(const struct host *host);
void host_answered(struct host *host, const struct statement_answer *answer,
		   int64_t now_us);
void host_failed(struct host *host, int64_t now_us);
/** host_out() - statements that it has not answered */
unsigned host_out(const struct host *host);
void hosts_tick(struct entry *entry, int64_t now_us);
void host_free(struct host *host);

/* link.c */
struct link *link_open(struct host *host);
void link_close(struct link *link);
/** link_bind() - give an idle link to a session */
void link_bind(struct link *link, struct session *s);
/** link_setup() - bring values and names there up to the session's */
unsigned link_setup(struct link *link, struct session *s);
void link_send(struct link *link, enum link_step step,
	       const struct link_command *command);
void link_flush(struct link *link);
/** link_release() - the session needs it no more; cleans it for the next */
void link_release(struct link *link);
/** link_abandon() - the session was answered while a command is out */
void link_abandon(struct link *link);
void link_sample(struct link *link);
bool link_is_idle(const struct link *link);

/* request.c */
void request_start(struct session *s);
/** request_conclude() - answer the statement, wherever it ran */
void request_conclude(struct session *s, const struct statement_answer *answer);
/** request_again() - another attempt after one that kept nothing */
void request_again(struct session *s, enum refusal refusal);
bool request_is_write(const struct session *s);
/** request_note_own() - the session committed up to the answer's position */
void request_note_own(struct session *s, const struct statement_answer *answer);
void request_cancel(struct session *s);
void request_step(struct session *s, enum link_step step,
		  const struct statement_answer *answer);
void request_link_lost(struct session *s);
void request_resume(struct session *s);
/** request_is_movable() - whether it may run elsewhere as well */
bool request_is_movable(const struct session *s);
/** request_silent() - move a request whose upstream says nothing */
void request_silent(struct session *s);

/* home.c */
struct roster_entry *
roster_entry_new(const char *name, const char *availability_zone, uint32_t ip);
void roster_entry_free(void *data);
/** home_is_local() - whether this daemon holds the service's connections */
bool home_is_local(struct entry *entry, const char *service);
/** home_share() - connections to one upstream that this daemon may hold */
unsigned home_share(struct entry *entry, const struct entry_pool *pool);
void homes_tick(struct entry *entry);
void homes_init(struct entry *entry);
void homes_finish(struct entry *entry);
/** home_choose() - a home of the service that can be reached, or NULL */
struct home_link *home_choose(struct entry *entry, const char *service,
			      const struct home_link *avoid);

/* relay.c */
/** relay_start() - send the session's statement to @home */
void relay_start(struct session *s, struct home_link *home);
/** relay_end() - the session needs nothing of its home any more */
void relay_end(struct session *s);
void relay_answered(struct home_link *home, const Wire__RelayAnswer *answer);
void relay_home_lost(struct home_link *home);

/* guest.c */
bool guests_listen(struct entry *entry, GError **error);
void guests_tick(struct entry *entry);
void guests_close(struct entry *entry);

/* handover.c */
void handover_start(struct entry *entry, const Wire__Handover *in);
void handover_tick(struct entry *entry, int64_t now_us);
/** handover_proceed() - give the next command if a connection is free */
void handover_proceed(struct entry *entry);
void handover_answered(struct entry *entry,
		       const struct statement_answer *answer);
/** handover_lost() - the connection that was asked broke */
void handover_lost(struct entry *entry);
void handover_finish(struct entry *entry);

/* dispatch.c */
/** service_dispatch() - give free connections to those who wait */
void service_dispatch(struct service *svc);

/* session.c */
void session_answer(struct session *s, const struct statement_answer *answer);
void session_end_transaction(struct session *s, enum transaction to);
enum session_state session_state(const struct session *s);
/** session_prepare() - note a prepared statement, known as @alias upstream */
void session_prepare(struct session *s, const char *name, const char *alias,
		     const char *shape, bool writes);
void sessions_tick(struct entry *entry, int64_t now_us);

/* watch.c */
void watch_tick(int64_t now_us, void *data);
/** watch_connect() - connect to control VMs that are not connected */
void watch_connect(struct entry *entry);
void watch_stop(struct entry *entry);
/**
 * watch_misses_leader() - whether the control leader was not heard for long
 *
 * Notes when it is heard, so it is to be asked with each report.
 */
bool watch_misses_leader(struct entry *entry, int64_t now_us);
/** watch_soon() - report again at @at_us, for news that cannot wait */
void watch_soon(struct entry *entry, int64_t at_us);

#endif
