#ifndef PROXY_H
#define PROXY_H

#include "admission.h"
#include "bus.h"
#include "clock.h"
#include "control_client.h"
#include "counters.h"
#include "event_timers.h"
#include "retry.h"
#include "router.h"
#include "session_client.h"
#include "settings.h"
#include "sql_classify.h"
#include "statements.h"
#include "tables.h"
#include "timer_service.h"
#include "upstream_directory.h"

#include <ev.h>

/**
 * DOC: The proxy task: callers, upstreams and what connects them.
 *
 * One thread owns all of it. Objects that may be freed inside their own
 * callbacks are handed to proxy_discard() and freed before the loop waits.
 */

enum proxy_counter {
	COUNT_CALLERS_ACCEPTED,
	COUNT_CALLERS_REFUSED,
	COUNT_CALLERS_OPEN,
	COUNT_CALLERS_STALLED,
	COUNT_CALLERS_REJECTED_LOGIN,
	COUNT_CALLERS_HELD,
	COUNT_CALLERS_PAUSED,
	COUNT_CALLERS_SHED,
	COUNT_CALLERS_EVICTED,
	COUNT_CALLERS_REFUSED_ADDRESS,
	COUNT_CALLERS_LATE_STARTUP,
	COUNT_CALLERS_LATE_MESSAGE,
	COUNT_CALLERS_IDLE_TRANSACTION,
	COUNT_STATEMENTS_REFUSED,
	COUNT_ACCEPT_FAILED,
	COUNT_UPSTREAMS_REFUSED,
	COUNT_REQUESTS,
	COUNT_REQUESTS_REPLICA,
	COUNT_REQUESTS_PRIMARY,
	COUNT_READS,
	COUNT_READS_REPLICA,
	COUNT_LOCAL_ANSWERS,
	COUNT_REFUSED_STATEMENTS,
	COUNT_REFUSED_QUEUE,
	COUNT_REFUSED_DEADLINE,
	COUNT_REFUSED_NO_LEASE,
	COUNT_OUTCOME_UNKNOWN,
	COUNT_OUTCOME_FAILED,
	COUNT_RETRIES,
	COUNT_RETRIES_DENIED,
	COUNT_COMMITS_WAITED,
	COUNT_COMMITS_ACKNOWLEDGED,
	COUNT_POSITION_QUERIES,
	COUNT_PROBES_MISSED,
	COUNT_UPSTREAM_OPENED,
	COUNT_UPSTREAM_CLOSED,
	COUNT_UPSTREAM_FAILED,
	COUNT_UPSTREAM_OPEN,
	COUNT_LOOKUPS,
	COUNT_LOOKUPS_UNREACHED,
	COUNT_CANCELS,
	COUNT_CANCELS_LATE,
	COUNT_ANNOUNCEMENTS,
	COUNT_ANNOUNCEMENTS_MALFORMED,
	COUNT_ANNOUNCEMENTS_STALE,
	COUNT_NEWS_SENT,
	COUNT_NEWS_RECEIVED,
	COUNT_BUS_UNKNOWN,
	PROXY_COUNTERS,
};

struct announce;
struct caller;
struct commit_wait;

/**
 * struct proxy - state of the task
 * @callers: struct caller by handle, NULL where free
 * @nr_startups: callers that are not logged in yet
 * @held_bytes: held by all callers
 * @preferred: caller that may go on while others are paused, NULL if none
 * @addresses: number of callers by address
 * @descriptors: limit of the process on open files
 * @logged_us: last log line about a limit, by its counter
 * @parked: struct request that no upstream fits now
 * @homes: struct upstream_home by directory handle
 * @shares: connections granted, by upstream name
 * @announced_terms: uint32_t, by directory handle of the upstream
 * @acknowledged: what was acknowledged, by directory handle of the cluster
 * @surrendered: the lease was lost for so long that the control leader may
 *               give the connections of this daemon to others
 * @accept_paused: no descriptor was left; the listener is not watched
 * @parameters: ParameterStatus values learned from upstreams, by name
 * @tls: OpenSSL context for callers, NULL without a certificate
 * @cancels: struct cancel under way
 * @users: SCRAM verifiers by user name, NULL trusts every caller
 */
struct proxy {
	struct ev_loop *loop;
	struct settings *settings;
	const char *settings_path;
	struct timer_service timers;
	struct event_timers event_timers;
	ev_prepare prepare;
	ev_io listener;
	ev_signal signals[3];
	struct counter_set counters;
	int counter[PROXY_COUNTERS];
	struct bus *bus;
	struct control_client *control;
	struct session_client *sessions;
	struct upstream_directory directory;
	struct router router;
	struct sql_classifier classifier;
	struct statement_table statements;
	struct retry_budget retries;
	GPtrArray *callers;
	GArray *free_callers;
	unsigned nr_callers;
	unsigned nr_startups;
	size_t held_bytes;
	struct caller *preferred;
	GHashTable *addresses;
	uint64_t descriptors;
	int64_t logged_us[PROXY_COUNTERS];
	GQueue parked;
	GPtrArray *homes;
	GHashTable *shares;
	GArray *announced_terms;
	GArray *acknowledged;
	GHashTable *parameters;
	GHashTable *users;
	struct ssl_ctx_st *tls;
	GPtrArray *discarded;
	GPtrArray *cancels;
	struct announce *announce;
	struct commit_wait *commits;
	int sweep_timer;
	int drain_timer;
	int surrender_timer;
	bool surrendered;
	bool draining;
	bool accept_paused;
};

/** proxy_run() - run until a shutdown ends; Return: process exit status */
int proxy_run(struct settings *settings, const char *settings_path,
	      GError **error);

static inline int64_t proxy_now(void)
{
	return clock_now_us();
}

static inline void proxy_count(struct proxy *proxy, enum proxy_counter which)
{
	counter_add(&proxy->counters, proxy->counter[which], 1);
}

static inline void proxy_gauge(struct proxy *proxy, enum proxy_counter which,
			       int64_t value)
{
	counter_assign(&proxy->counters, proxy->counter[which], value);
}

/** proxy_stop_listening() - no new caller; the load balancer notices */
void proxy_stop_listening(struct proxy *proxy);

/** proxy_discard() - g_free() @memory once no callback uses it */
void proxy_discard(struct proxy *proxy, void *memory);

void proxy_counters_init(struct proxy *proxy);

/** proxy_links_init() - bus, control client, session client */
bool proxy_links_init(struct proxy *proxy, GError **error);
void proxy_links_finish(struct proxy *proxy);

/** proxy_acknowledged() - a commit was acknowledged to a caller */
void proxy_acknowledged(struct proxy *proxy, int cluster, struct position pos);
/** proxy_may_write() - lease valid and the cluster not fenced */
bool proxy_may_write(struct proxy *proxy, int cluster);

#endif
