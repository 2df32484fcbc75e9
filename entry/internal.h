#ifndef ENTRY_INTERNAL_H
/** Pause of this process after which control may have given up an order, whose
 * result it awaits for 1 s, microseconds. */
#define ENTRY_ORDER_MAX_PAUSE_US (300 * 1000ll)
#define ENTRY_INTERNAL_H

#include "answer_time.h"
#include "channel.h"
#include "counters.h"
#include "entry.h"
#include "home_policy.h"
#include "histogram.h"
#include "read_bound.h"
#include "send_window.h"
#include "urgency.h"
#include "wait_limit.h"

/** Interval at which links, upstreams and sessions are checked. */
#define ENTRY_TICK_INTERVAL_US (50 * 1000ll)
/** Interval of the regular reports to control VMs. */
#define ENTRY_REPORT_INTERVAL_US (800 * 1000ll)
/** Time-out of connecting and logging in, including the time for which the
 * log-in queues for one of the upstream's slots. */
#define ENTRY_LOGIN_TIMEOUT_US (1500 * 1000ll)
/** An upstream that answers nothing for this long counts as failing, and
 * requests that can run elsewhere are moved to other upstreams. */
#define ENTRY_SILENCE_TIMEOUT_US (300 * 1000ll)
/** A link without a session is closed if an answer takes longer than this. */
#define ENTRY_ABANDONED_TIMEOUT_US (2000 * 1000ll)
/** Largest age of the newest sample before the primary is sampled again. */
#define ENTRY_SAMPLE_INTERVAL_US (400 * 1000ll)
/** Time in which the control leader answers for the limit of an account. A
 * packet that is lost is sent again after 200 ms; an answer that comes after
 * this time is not used. */
#define ENTRY_QUOTA_TIMEOUT_US (300 * 1000ll)
/** Largest number of attempts of one statement, including the first. */
#define ENTRY_MAX_ATTEMPTS 6

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
	ENTRY_COUNT_ANSWERS_LOST,
	ENTRY_COUNT_SAMPLES,
	ENTRY_COUNT_VIEWS,
	ENTRY_COUNT_RELAYED,
	ENTRY_COUNT_RELAYS_LOST,
	ENTRY_COUNT_RELAYS_RECEIVED,
	ENTRY_COUNT_UNKNOWN_KEYS,
	ENTRY_COUNT_QUOTA_REQUESTS,
	ENTRY_COUNT_QUOTA_REFUSED,
	ENTRY_COUNT_SESSIONS_REVOKED,
	ENTRY_COUNT_LINKS_EVICTED,
	ENTRY_COUNT_CLIENTS_PAUSED,
	ENTRY_COUNT_CONNECTIONS_NO_MEMORY,
	ENTRY_COUNT_STATEMENTS_NO_MEMORY,
	ENTRY_COUNT_CLOSED_NO_MEMORY,
	ENTRY_COUNT_SESSION_STATE_REFUSED,
	ENTRY_COUNT_ANSWERS_TOO_LARGE,
	ENTRY_COUNT_CONNECTIONS_REFUSED,
	ENTRY_COUNT_STARTING_REFUSED,
	ENTRY_COUNT_PER_ADDRESS_REFUSED,
	ENTRY_COUNT_RELAYS_REFUSED,
	ENTRY_COUNT_STARTUP_OVERDUE,
	ENTRY_COUNT_MESSAGE_OVERDUE,
	ENTRY_COUNT_ANSWER_OVERDUE,
	ENTRY_COUNT_HELD_BYTES,
	ENTRY_COUNT_WAITING,
	ENTRY_COUNT_OPEN_SESSIONS,
	ENTRY_COUNT_CONFIG_VERSION,
	ENTRY_NR_COUNTERS,
};

/**
 * struct upstream - one upstream and the connections to it
 * @other_zone: whether it is in another availability zone
 * @revision: revision of the sighting that was last applied
 * @born_ms: start of the database according to that sighting
 * @leaving: whether it is shutting down and gets no new work
 * @gone: whether it is gone or has changed its service; it is freed once its
 *        links are closed
 * @links: struct link, open or being opened
 * @window: limits the statements that are outstanding there
 * @log_position: log position that it last reported
 * @log_position_at_us: when it reported @log_position
 * @led_us: when it was last asked something that only the present primary does,
 *          and did it
 * @last_answer_us: when it last answered any command
 * @newest_answered_us: when the newest of the statements that it has answered
 *                      was sent
 * @failing_us: first failure since that answer, 0 if none
 * @failures: failures since that answer
 * @probed_us: when another connection was last probed because it was silent
 * @connect_after_us: earliest next attempt to connect
 * @busy_until_us: no statements are sent to it until then, as it refused one
 *                 for lack of capacity
 * @lag_us: replication lag behind the primary, measured at @lag_at_us
 * @behind_position: position for which it last refused a read as behind
 * @behind_at_us: when it refused that read
 * @connections_full_at_us: when it last refused a connection because its
 *                          connection limit was reached
 * @saturated_at_us: when a statement was last delayed because @window was full
 * @not_primary_until_us: not used as the primary until then, as it refused
 *                        work that only the primary does
 */
struct upstream {
	struct entry *entry;
	struct service *service;
	char *id;
	char *address;
	bool other_zone;
	uint64_t revision;
	uint64_t born_ms;
	bool leaving;
	bool gone;
	GPtrArray *links;
	struct send_window window;
	struct position log_position;
	int64_t log_position_at_us;
	int64_t led_us;
	int64_t last_answer_us;
	int64_t newest_answered_us;
	int64_t failing_us;
	unsigned failures;
	int64_t probed_us;
	int64_t connect_after_us;
	int64_t busy_until_us;
	int64_t lag_us;
	int64_t lag_at_us;
	struct position behind_position;
	int64_t behind_at_us;
	int64_t connections_full_at_us;
	int64_t saturated_at_us;
	int64_t not_primary_until_us;
};

/** Interval of the log summaries of each service. */
#define ENTRY_SUMMARY_INTERVAL_US (5 * 1000000ll)

/**
 * struct service_summary - statement counts since the last log summary
 * @done: statements that succeeded
 * @writes: those of @done that wrote or committed
 * @not_done: statements that did not succeed, also those relayed elsewhere
 * @waits_refused: those of @not_done that were refused while they waited
 * @relayed: statements passed on to another daemon
 * @waited_us: sum over @done of the time from arrival until it was sent
 * @upstream_us: sum over @done of the time at the upstream
 * @refusals: refusals by upstreams, indexed by kind
 */
struct service_summary {
	unsigned done;
	unsigned writes;
	unsigned not_done;
	unsigned waits_refused;
	unsigned relayed;
	int64_t waited_us;
	int64_t upstream_us;
	unsigned refusals[REFUSAL_NR];
};

/**
 * struct service - upstreams of one service and sessions that wait for them
 * @samples: log positions of the primary
 * @waiting: sessions that wait for a connection, in any order
 * @cost_us: smoothed time of a statement at an upstream where no statements
 *           queue, by read rule
 * @answer_times: times of all answers with their deviation, by read rule
 * @repeat_budget: limits the statements repeated because of lost answers
 * @window_full_at_us: when a statement was last delayed because the send window
 *                  of an upstream was full
 * @strained: whether its primary was saturated while all replicas lagged
 * @last_used_us: when a session last needed a connection
 * @last_probe_us: when the upstreams were last probed for the primary
 * @dispatching: guards service_dispatch() against recursion
 * @dispatch_number: number of the latest dispatch
 * @summary_us: when the last summary was logged
 */
struct service {
	struct entry *entry;
	char *name;
	GPtrArray *known_upstreams;
	struct read_samples samples;
	GQueue waiting;
	int64_t cost_us[3];
	struct answer_time answer_times[3];
	struct repeat_budget repeat_budget;
	int64_t window_full_at_us;
	bool strained;
	int64_t last_used_us;
	int64_t last_probe_us;
	bool dispatching;
	uint64_t dispatch_number;
	struct service_summary summary;
	int64_t summary_us;
};

enum link_state {
	LINK_OPENING,
	LINK_READY,
};

/** enum link_purpose - what an outstanding command was sent for */
enum link_purpose {
	LINK_PURPOSE_SETUP,
	LINK_PURPOSE_BEGIN,
	LINK_PURPOSE_STATEMENT,
	LINK_PURPOSE_ROLLBACK,
	LINK_PURPOSE_SAMPLE,
	/** sent for a handover, belongs to no session */
	LINK_PURPOSE_HANDOVER,
	/** sent for a survey, belongs to no session */
	LINK_PURPOSE_SURVEY,
	/** the session was answered before the upstream replied */
	LINK_PURPOSE_ABANDONED,
};

/**
 * struct link - one connection to an upstream
 * @account: account that it was opened for, NULL for the proxy itself
 * @session: the session that holds it, NULL if none
 * @handle: the upstream protocol's handle, NULL once closed
 * @outstanding: enum link_purpose of each unanswered command, oldest first
 * @values: session values that are set on the connection
 * @prepared: names of the statements that are prepared on it
 * @in_transaction: whether a transaction is open on it
 * @used: whether a session has used it
 * @state_bytes: what @values and @prepared hold, as counted in entry.usage
 * @sent_us: when a command was last sent while none was unanswered
 * @opened_or_released_us: when it was opened or last released
 */
struct link {
	struct upstream *upstream;
	char *account;
	void *handle;
	enum link_state state;
	struct session *session;
	GArray *outstanding;
	GHashTable *values;
	GHashTable *prepared;
	size_t state_bytes;
	bool in_transaction;
	bool used;
	int64_t sent_us;
	int64_t opened_or_released_us;
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
	/** waits until the control leader answers for its account's limit */
	REQUEST_AWAITING_QUOTA,
	/** relayed to a home daemon */
	REQUEST_RELAYED,
	/** waits until a home daemon is connected */
	REQUEST_AWAITING_HOME,
	/** in a transaction; will be resent on the same link */
	REQUEST_PAUSED,
};

/**
 * struct session - one caller's session
 * @handle: the caller protocol's object for the connection
 * @list_node: node in entry.sessions
 * @number: identifies the session at home daemons
 * @home: home daemon that runs its transaction or statement, NULL if none
 * @remote_caller: whether the caller is connected to another daemon,
 *         which relays its statements
 * @key: identifies the caller's account, NULL if another daemon checks it
 * @account: account of the operation, NULL for none; valid while @table is held
 * @revoked_us: when @key was found to be no longer valid, 0 if it is
 * @values: acknowledged session values by name
 * @prepared: name to struct prepared
 * @state_bytes: what @values and @prepared hold, as counted in entry.usage
 * @statement_bytes: what @statement holds, as counted there
 * @own: position of its newest commit, term 0 for none
 * @last_active_us: when a statement last arrived or was answered
 * @awaiting_routes: whether it waits until the routes are known
 * @close_when_idle: whether to close it after its transaction
 * @closing: whether the caller was rejected or asked to disconnect
 * @table: keeps @route alive during a transaction or request
 * @tx_begun_us: when the transaction began
 * @tx_may_write: whether the transaction may write
 * @tx_answered: whether a statement of the transaction was answered
 * @tx_wrote: whether a statement of the transaction wrote
 * @statement: the outstanding statement
 * @arrived_us: when @statement arrived
 * @asked_us: since when the caller has waited for @statement: earlier than
 *            @arrived_us if it waited for the routes or was refused right
 *            before; 0 if nothing is asked for
 * @may_ask_again_us: when it was last refused, or told that the session started
 * @statement_sent_us: when @statement was sent to the upstream
 * @last_dispatch: number of the dispatch that last examined it
 * @timer: time-out of the current phase
 * @waiting: node in service.waiting, or in the queue of a limit
 * @quota: the limit in whose queue it waits, NULL for none
 * @charged: whether its operation counts towards the account's limit
 * @classified: whether @needs_primary, @verify_primary and @need are set
 * @needs_primary: whether only the primary can run it
 * @verify_primary: whether a single read is wrapped in a transaction,
 *         which only the current primary begins
 * @need: position that the upstream must have reached, term 0 for none
 * @avoid: upstream that failed the request, NULL for none
 * @last_upstream: id of the last upstream it was sent to, NULL for none
 * @nr_setup_outstanding: unanswered commands that precede the statement
 */
struct session {
	struct entry *entry;
	const struct caller_ops *ops;
	void *handle;
	GList list_node;
	uint64_t number;
	struct home_link *home;
	bool remote_caller;
	char *database;
	char *key;
	const char *account;
	int64_t revoked_us;
	GHashTable *values;
	GHashTable *prepared;
	size_t state_bytes;
	size_t statement_bytes;
	struct read_requirement own;
	int64_t last_active_us;
	bool awaiting_routes;
	bool close_when_idle;
	bool closing;

	struct entry_table *table;
	const struct entry_route *route;
	struct service *service;
	enum transaction tx;
	int64_t tx_begun_us;
	bool tx_may_write;
	bool tx_answered;
	bool tx_wrote;

	struct statement statement;
	enum request_phase phase;
	int64_t arrived_us;
	int64_t asked_us;
	int64_t may_ask_again_us;
	int64_t statement_sent_us;
	uint64_t last_dispatch;
	int timer;
	struct link *link;
	GList waiting;
	struct quota *quota;
	bool charged;
	bool classified;
	bool needs_primary;
	bool verify_primary;
	struct read_requirement need;
	const struct upstream *avoid;
	char *last_upstream;
	unsigned attempts;
	unsigned nr_setup_outstanding;
	enum refusal last_refusal;
};

/**
 * struct prepared - a prepared statement of a session
 * @shape: its text, without arguments
 * @alias: its name on upstream connections, derived from @shape
 */
struct prepared {
	bool writes;
	char *shape;
	char *alias;
};

/**
 * struct home_link - a connection to a home daemon
 *
 * The home daemons of a service hold the connections to its upstreams. The
 * other daemons relay their callers' statements to one of them.
 *
 * @next_connect_us: earliest next attempt to connect
 * @declined_at_us: service name to int64_t, when it last declined a statement
 * @sessions: number to struct session, for each one that has a statement or
 *            transaction there
 */
struct home_link {
	struct entry *entry;
	uint32_t ip;
	struct channel channel;
	int64_t next_connect_us;
	GHashTable *declined_at_us;
	GHashTable *sessions;
};

/**
 * struct relay_client - a connection on which another daemon relays statements
 * @relayed_sessions: the other daemon's session number to struct remote_session
 * @list_node: node in entry.relay_clients
 * @served: whether a message of the other daemon was valid
 * @partial_us: since when an incomplete frame is held, 0 if none
 * @large_us: since when it holds more than client_limits_small_bytes()
 * @closed: whether it is to be freed by the next tick
 */
struct relay_client {
	struct entry *entry;
	struct channel channel;
	GHashTable *relayed_sessions;
	GList list_node;
	bool served;
	int64_t partial_us;
	int64_t large_us;
	bool closed;
};

/** struct roster_entry - an entry daemon as listed by control */
struct roster_entry {
	char *name;
	char *availability_zone;
	uint32_t ip;
};

enum handover_phase {
	HANDOVER_STOPPING,
	HANDOVER_CATCHING_UP,
	HANDOVER_DONE,
};

/**
 * struct handover - an order from control to demote a primary in favor of a
 *                   successor
 * @number: number of the order, 0 if there was none
 * @from: the primary
 * @to: its successor
 * @demote_term: least term that demotes the primary, 0 if unknown
 * @end: end of the primary's log after it was demoted
 * @expires_us: deadline; once done, until when the result is reported
 * @awaiting_answer: whether a command is unanswered
 * @complete: whether the successor has received everything up to @end
 * @timer: next poll of the successor
 */
struct handover {
	uint64_t number;
	enum handover_phase phase;
	char *from;
	char *to;
	uint32_t demote_term;
	struct position end;
	int64_t expires_us;
	bool awaiting_answer;
	bool complete;
	int timer;
};

/**
 * struct control_link - a connection to a control VM
 *
 * The daemon sends it reports. It answers with views, which carry the
 * configuration, the upstreams, the primaries and the roster of entry daemons.
 *
 * @next_connect_us: earliest next attempt to connect
 * @last_used_us: when it was added, connected or last listed by a view
 * @fresh: whether its last view was up to date
 * @roster: daemon name to struct roster_entry
 */
struct control_link {
	struct entry *entry;
	uint32_t ip;
	struct channel channel;
	int64_t next_connect_us;
	int64_t last_used_us;
	bool fresh;
	GHashTable *roster;
};

/**
 * struct quotas - limits of accounts at this daemon
 * @accounts: account to struct quota
 * @incarnation: differs for each start of the daemon
 * @term: term of the leader whose shares were applied last
 * @number: number of those shares
 * @unanswered_us: since when the leader has not answered a request, 0 if it has
 * @forwards: own request number to the struct quota_forward that waits for it
 * @homes_changed: whether struct quota.nr_services is outdated
 * @lease_until_us: end of the lease of the shares
 * @last_request: number of the last request to the leader
 * @reported_us: when demand was last reported
 * @logged_us: when refusals were last logged
 */
struct quotas {
	GHashTable *accounts;
	uint64_t incarnation;
	uint64_t term;
	uint64_t number;
	int64_t unanswered_us;
	GHashTable *forwards;
	bool homes_changed;
	int64_t lease_until_us;
	uint64_t last_request;
	int64_t reported_us;
	int64_t logged_us;
};

/**
 * struct entry - an entry daemon
 * @table: configuration in force, NULL until one was received
 * @control: struct control_link
 * @leader_ip: address of the control leader as of the last fresh view
 * @leader_last_reachable_us: when the link to the control leader was last fresh
 * @home_sets: service name to struct home_set, whose indices refer to
 *        @home_set_daemons
 * @home_set_daemons: struct roster_entry that @home_sets was computed from;
 *                copies, as control links and their rosters may go away
 * @home_sets_outdated: whether the roster or the pools changed since
 *                 @home_sets was computed
 * @homes: address to struct home_link
 * @relay_clients: struct relay_client
 * @listener: accepts connections of other daemons
 * @services: name to struct service
 * @known_upstreams: id to upstream
 * @sessions: all sessions, including those of callers of other daemons
 * @last_session_number: number of the session that was created last
 * @fresh: whether any fresh view was received
 * @last_fresh_us: when the last one was received
 * @was_ready: whether readiness was logged
 * @surveys: struct survey, see survey.c
 * @survey_timer: next poll of the upstreams of @surveys
 * @drain_started_us: when it was asked to stop, 0 if it was not
 * @last_tick_us: when links, upstreams and sessions were last checked
 * @random: state of entry_random()
 * @usage: what the clients take
 * @limit_hits: applications of each limit since the last log line
 * @limits_logged_us: when they were logged
 * @counter: handles in @counters, by enum entry_counter
 * @answer_times: from a statement's arrival to its answer, by read rule
 */
struct entry {
	struct ev_loop *loop;
	struct timer_service *timers;
	struct entry_config config;
	struct entry_table *table;
	struct sightings sightings;
	GPtrArray *control;
	uint32_t leader_ip;
	int64_t leader_last_reachable_us;
	GHashTable *home_sets;
	GPtrArray *home_set_daemons;
	bool home_sets_outdated;
	GHashTable *homes;
	struct quotas quotas;
	GQueue relay_clients;
	struct handover handover;
	GPtrArray *surveys;
	int survey_timer;
	ev_io listener;
	GHashTable *services;
	GHashTable *known_upstreams;
	GQueue sessions;
	uint64_t last_session_number;
	bool fresh;
	int64_t last_fresh_us;
	bool was_ready;
	int64_t drain_started_us;
	int64_t last_tick_us;
	int tick_timer;
	int watch_timer;
	int report_timer;
	int close_timer;
	uint32_t random;
	struct client_usage usage;
	uint64_t limit_hits[CLIENT_LIMIT_NR];
	int64_t limits_logged_us;
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

/** entry_random() - 24 random bits, not for cryptographic use */
uint32_t entry_random(struct entry *entry);

/* upstream.c */
/** service_get() - the service of this name, created if needed */
struct service *service_get(struct entry *entry, const char *name);
void service_free(void *data);
void services_log_summaries(struct entry *entry, int64_t now_us);
/** upstreams_update() - apply the current sightings */
void upstreams_update(struct entry *entry);
/** upstream_primary() - the service's primary, NULL if none can be used */
struct upstream *upstream_primary(struct service *svc, int64_t now_us);
/** upstream_confirm_primary() - record that the upstream proved to be the
 * primary in its answer to a command sent at @asked_us */
void upstream_confirm_primary(struct upstream *upstream, int64_t asked_us);
/** upstream_is_full() - whether it recently refused a connection because its
 * connection limit was reached */
bool upstream_is_full(const struct upstream *upstream, int64_t now_us);
/** upstream_nr_openable_links() - how many more links may be opened */
unsigned upstream_nr_openable_links(const struct upstream *upstream,
				    int64_t now_us);
/**
 * upstream_nr_openable_for() - the same for @account, for which an idle link of
 *                              another account may be closed
 */
unsigned upstream_nr_openable_for(const struct upstream *upstream,
				  const char *account, int64_t now_us);
/** upstream_evict() - close an idle link that makes room for @account, if any */
void upstream_evict(struct upstream *upstream, const char *account);
/** upstream_idle_link() - an idle link, of @s's account if @s is not NULL, and
 * preferably with its values; NULL for none */
struct link *upstream_idle_link(const struct upstream *upstream,
				const struct session *s);
/** upstream_has_idle_link() - whether a link of @account is idle */
bool upstream_has_idle_link(const struct upstream *upstream,
			    const char *account);
/** upstream_nr_busy_links() - number of links that are not idle */
unsigned upstream_nr_busy_links(const struct upstream *upstream);
void upstream_note_answer(struct upstream *upstream,
			  const struct statement_answer *answer,
			  int64_t now_us);
void upstream_note_failure(struct upstream *upstream, int64_t now_us);
/** upstream_nr_outstanding() - number of links with an unanswered command */
unsigned upstream_nr_outstanding(const struct upstream *upstream);
void upstreams_tick(struct entry *entry, int64_t now_us);
void upstream_destroy(struct upstream *upstream);

/* link.c */
/** link_open() - open a link for the proxy itself */
struct link *link_open(struct upstream *upstream);
/** link_open_for() - open a link for @account, NULL for the proxy itself */
struct link *link_open_for(struct upstream *upstream, const char *account);
/** link_is_for() - whether statements of @account may run on it */
bool link_is_for(const struct link *link, const char *account);
void link_close(struct link *link);
/** link_bind() - assign an idle link to a session */
void link_bind(struct link *link, struct session *s);
/**
 * link_apply_session() - queue what applies the session's values and
 *                prepared statement to the connection
 * Return: number of commands
 */
unsigned link_apply_session(struct link *link, struct session *s);
void link_send(struct link *link, enum link_purpose purpose,
	       const struct link_command *command);
void link_flush(struct link *link);
/** link_release() - detach from the session and roll back what is open */
void link_release(struct link *link);
/** link_abandon() - release a link whose statement is unanswered */
void link_abandon(struct link *link);
/** link_request_sample() - begin a transaction to learn the log position */
void link_request_sample(struct link *link);
bool link_is_idle(const struct link *link);

/* request.c */
void request_start(struct session *s);
/** request_complete() - end the request and answer the statement */
void request_complete(struct session *s, const struct statement_answer *answer);
/** request_retry() - retry after an attempt that had no effect */
void request_retry(struct session *s, enum refusal refusal);
bool request_is_write(const struct session *s);
/** request_note_commit() - record a commit at the answer's position */
void request_note_commit(struct session *s,
			 const struct statement_answer *answer);
void request_cancel(struct session *s);
/**
 * request_give_up() - end the statement under way, as the process ends
 *
 * The caller is told what is known; a statement of another daemon's caller is
 * returned to it if it may run elsewhere.
 */
void request_give_up(struct session *s, const char *detail);
/** request_command_answered() - the upstream answered one of its commands */
void request_command_answered(struct session *s, enum link_purpose purpose,
			      const struct statement_answer *answer);
/** request_link_lost() - the session's upstream or home was lost */
void request_link_lost(struct session *s);
/**
 * request_relay_to_peer() - let another daemon run a waiting statement
 *
 * A statement of another daemon's caller is returned to that daemon.
 *
 * Return: false if no other daemon can take it
 */
bool request_relay_to_peer(struct session *s);
/** request_refuse_unreachable() - refuse a waiting statement and close its
 * session, so that the caller connects to another daemon */
void request_refuse_unreachable(struct session *s);
/** request_run_after_quota() - its account's limit allows the operation in
 * @wait_us */
void request_run_after_quota(struct session *s, int64_t wait_us);
/** request_refuse_over_quota() - the limit does not, for another @wait_us */
void request_refuse_over_quota(struct session *s, int64_t wait_us);
/** request_run_on_link() - run the statement on the session's link */
void request_run_on_link(struct session *s);
/** request_can_run_elsewhere() - whether another upstream may run it */
bool request_can_run_elsewhere(const struct session *s);
/** request_can_lose_link() - whether closing its link leaves no doubt whether
 * the statement has had an effect */
bool request_can_lose_link(const struct session *s);
/** request_leave_silent_upstream() - try another upstream than the silent
 * one */
void request_leave_silent_upstream(struct session *s);

/* home.c */
struct roster_entry *
roster_entry_new(const char *name, const char *availability_zone, uint32_t ip);
void roster_entry_free(void *data);
/** home_is_local() - whether this daemon is a home of the service */
bool home_is_local(struct entry *entry, const char *service);
/** home_runs_account() - whether this daemon is the home of the service for
 * @account, NULL for any account */
bool home_runs_account(struct entry *entry, const char *service,
		       const char *account);
/** home_share() - this daemon's share of the connections to one upstream */
unsigned home_share(struct entry *entry, const struct entry_pool *pool);
void homes_tick(struct entry *entry);
void homes_init(struct entry *entry);
void homes_finish(struct entry *entry);
/** home_choose() - a connected home of the service for @account, or NULL */
struct home_link *home_choose(struct entry *entry, const char *service,
			      const char *account);
/** home_nr_services() - number of services for which this daemon is the home of
 * the account when all homes are connected */
unsigned home_nr_services(struct entry *entry, const char *account);
/** home_holders() - the connected struct home_link that run operations of the
 * account for some service when all homes are connected */
GPtrArray *home_holders(struct entry *entry, const char *account);
/** home_choose_peer() - another connected daemon that may hold connections to
 * the service's upstreams, or NULL */
struct home_link *home_choose_peer(struct entry *entry, const char *service,
				   const char *account);
void home_note_declined(struct home_link *home, const char *service);

/* peer_relay.c */
/** service_relay_unreachable() - pass on waiting statements whose upstreams
 * this daemon cannot reach */
void service_relay_unreachable(struct service *svc, int64_t now_us);

/* relay.c */
/** relay_start() - relay the session's statement to @home */
void relay_start(struct session *s, struct home_link *home);
/** relay_end() - tell the home to discard the session */
void relay_end(struct session *s);
void relay_answered(struct home_link *home, const Wire__RelayAnswer *answer);
void relay_home_lost(struct home_link *home);

/* relay_clients.c */
bool relay_clients_listen(struct entry *entry, GError **error);
void relay_clients_tick(struct entry *entry, int64_t now_us);
void relay_clients_close(struct entry *entry);

/* handover.c */
void handover_start(struct entry *entry, const Wire__Handover *in);
void handover_tick(struct entry *entry, int64_t now_us);
/** handover_proceed() - send the next command if a connection is idle */
void handover_proceed(struct entry *entry);
void handover_answered(struct entry *entry,
		       const struct statement_answer *answer);
/** handover_link_lost() - the link with an unanswered command closed */
void handover_link_lost(struct entry *entry);
void handover_finish(struct entry *entry);

/* survey.c */
void surveys_init(struct entry *entry);
void surveys_finish(struct entry *entry);
void survey_start(struct entry *entry, const Wire__Survey *in);
void survey_answered(struct link *link, const struct statement_answer *answer);
/** surveys_proceed() - send the next commands where a connection is idle */
void surveys_proceed(struct entry *entry, int64_t now_us);
/** survey_link_lost() - a link that may have an unanswered command closed */
void survey_link_lost(struct entry *entry, const struct link *link);
/** surveys_fill() - add the results to a report */
void surveys_fill(const struct entry *entry, Wire__Watch *watch);
void surveys_clear(Wire__Watch *watch);

/* dispatch.c */
/** service_dispatch() - assign idle connections to waiting sessions */
void service_dispatch(struct service *svc);
/** service_is_first_in_line() - whether no waiting session that needs the
 * primary, or none that does not, as the case of @s may be, goes before it */
bool service_is_first_in_line(const struct session *s, int64_t now_us);
/** services_dispatch() - the same for all services */
void services_dispatch(struct entry *entry);

/* account.c */
/**
 * account_resolve() - determine the account of the operation that begins
 * Return: REFUSAL_NONE, or why the operation is refused
 */
enum refusal account_resolve(struct session *s, const struct entry_table *table,
			     const struct entry_route *route);
/** accounts_revoke() - find the sessions whose key is no longer valid */
void accounts_revoke(struct entry *entry);
/** account_must_close() - whether the session is closed now, as its key was
 * revoked */
bool account_must_close(const struct session *s, int64_t now_us);

/* quota.c */
enum quota_result {
	QUOTA_ALLOWED,
	/** request_run_after_quota() or request_refuse_over_quota() follows */
	QUOTA_ASKED,
	QUOTA_REFUSED,
};
void quotas_init(struct entry *entry);
void quotas_finish(struct entry *entry);
/**
 * quota_charge() - count the session's operation towards its account's limit
 * @wait_us: set to the time until another is allowed if it is refused
 */
enum quota_result quota_charge(struct session *s, int64_t *wait_us);
/** quota_is_in_touch() - whether the control leader answers */
bool quota_is_in_touch(const struct entry *entry);
/** quota_wait_for_share() - have the session wait for its turn in the share of
 * this daemon, if that comes in time. Return: time until then, -1 if not */
int64_t quota_wait_for_share(struct session *s);
/** quota_asked_enough() - whether no daemon that was asked gave anything, so
 * that the caller had better come back */
bool quota_asked_enough(const struct session *s);
/** quota_ask_again() - ask the leader again unless it may still answer */
void quota_ask_again(struct session *s);
/** quota_cancel() - the session no longer waits for an answer */
void quota_cancel(struct session *s);
/** quotas_update() - apply the limits of a new configuration */
void quotas_update(struct entry *entry);
/** quotas_homes_changed() - other daemons may be the homes of accounts now */
void quotas_homes_changed(struct entry *entry);
void quotas_fill(struct entry *entry, Wire__Watch *watch);
void quotas_clear(Wire__Watch *watch);
void quotas_apply(struct entry *entry, const Wire__View *view);
/** quotas_granted() - the leader, or a daemon that asked it, answered */
void quotas_granted(struct entry *entry, const Wire__QuotaGrant *grant);
/** quota_forward() - ask the leader for a daemon that does not reach it, or give
 * it what this one does not need */
void quota_forward(struct relay_client *client, const Wire__QuotaRequest *in);
/** quotas_forget() - a daemon that may wait for an answer has left */
void quotas_forget(struct relay_client *client);
void quotas_log(struct entry *entry, int64_t now_us);
void quotas_print(const struct entry *entry, GString *out);

/* session.c */
void session_answer(struct session *s, const struct statement_answer *answer);
/** session_end_transaction() - set @tx to @to and roll back at the upstream */
void session_end_transaction(struct session *s, enum transaction to);
/**
 * session_must_end_transaction() - whether this daemon stops and the time for
 *                              open transactions is over, but for their end
 */
bool session_must_end_transaction(const struct session *s,
				  enum statement_verb verb);
enum session_state session_state(const struct session *s);
/** session_add_prepared() - record a prepared statement, whose name on upstream
 * connections is @alias */
void session_add_prepared(struct session *s, const char *name,
			  const char *alias, const char *shape, bool writes);
void sessions_tick(struct entry *entry, int64_t now_us);
/** sessions_close_soon() - close the session once it is idle, unless another
 * statement of it succeeds first */
void sessions_close_soon(struct session *s);

/* limits.c */
/** limits_log() - log the limits that were applied, once a second */
void limits_log(struct entry *entry, int64_t now_us);
/** limits_item_bytes() - memory of a session value or prepared statement */
size_t limits_item_bytes(const char *name, const char *value);
/** limits_log_length() - length of the part of an id that is logged */
size_t limits_log_length(const char *id);
/** session_count_state() - count @bytes of values and prepared statements */
void session_count_state(struct session *s, size_t bytes);
/** session_count_statement() - count the outstanding statement */
void session_count_statement(struct session *s);
/** session_takes_state() - whether the session may hold @bytes more */
bool session_takes_state(struct session *s, size_t bytes);
/** link_count_state() - count @bytes of values and prepared statements */
void link_count_state(struct link *link, size_t bytes);

/* watch.c */
void watch_tick(int64_t now_us, void *data);
/** watch_connect() - connect to control VMs that are not connected */
void watch_connect(struct entry *entry);
void watch_stop(struct entry *entry);
/**
 * watch_leader_is_unreachable() - whether the control leader has been
 *                 unreachable for more than two report intervals
 *
 * Records when the leader was last reachable, so it must be called for each
 * report.
 */
bool watch_leader_is_unreachable(struct entry *entry, int64_t now_us);
/** watch_report_at() - send a report at @at_us in addition to the regular ones,
 * unless one is scheduled already */
void watch_report_at(struct entry *entry, int64_t at_us);

#endif
