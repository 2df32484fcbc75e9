#include "proxy.h"

struct counter_name {
	enum proxy_counter which;
	gboolean gauge;
	const char *name;
	const char *help;
};

#define COUNTER(which, name, help)                                        \
	{                                                                 \
		COUNT_##which, FALSE, "comfreywheel_" name "_total", help \
	}
#define GAUGE(which, name, help)                                \
	{                                                       \
		COUNT_##which, TRUE, "comfreywheel_" name, help \
	}

static const struct counter_name names[] = {
	COUNTER(CALLERS_ACCEPTED, "callers_accepted",
		"caller connections accepted"),
	COUNTER(CALLERS_REFUSED, "callers_refused",
		"caller connections above max_callers or the descriptors"),
	GAUGE(CALLERS_OPEN, "callers_open", "caller connections open"),
	COUNTER(CALLERS_STALLED, "callers_stalled",
		"callers closed because they did not read their answer"),
	COUNTER(CALLERS_REJECTED_LOGIN, "callers_rejected_login",
		"callers without a route or with a wrong password"),
	GAUGE(CALLERS_HELD, "callers_held_bytes",
	      "bytes that callers hold in buffers"),
	COUNTER(CALLERS_PAUSED, "callers_paused",
		"times a caller was not read since memory was short"),
	COUNTER(CALLERS_SHED, "callers_shed",
		"callers closed since the memory for callers was in use"),
	COUNTER(CALLERS_EVICTED, "callers_evicted",
		"callers closed during startup since too many started"),
	COUNTER(CALLERS_REFUSED_ADDRESS, "callers_refused_address",
		"caller connections above max_callers_per_address"),
	COUNTER(CALLERS_LATE_STARTUP, "callers_late_startup",
		"callers closed after startup_timeout"),
	COUNTER(CALLERS_LATE_MESSAGE, "callers_late_message",
		"callers closed after message_timeout"),
	COUNTER(CALLERS_IDLE_TRANSACTION, "callers_idle_transaction",
		"callers closed after transaction_idle_timeout"),
	COUNTER(STATEMENTS_REFUSED, "statements_refused_memory",
		"prepared statements refused since their memory was in use"),
	COUNTER(ACCEPT_FAILED, "accept_failed",
		"times no descriptor was left for a caller"),
	COUNTER(UPSTREAMS_REFUSED, "upstreams_refused",
		"new upstreams refused above max_upstreams"),
	COUNTER(REQUESTS, "requests", "requests that need an upstream"),
	COUNTER(REQUESTS_REPLICA, "requests_replica",
		"requests sent to a replica"),
	COUNTER(REQUESTS_PRIMARY, "requests_primary",
		"requests sent to a primary"),
	COUNTER(READS, "reads", "requests without effects"),
	COUNTER(READS_REPLICA, "reads_replica", "reads sent to a replica"),
	COUNTER(LOCAL_ANSWERS, "local_answers",
		"statements answered by the daemon itself"),
	COUNTER(REFUSED_STATEMENTS, "refused_statements",
		"statements refused because pooling breaks them"),
	COUNTER(REFUSED_QUEUE, "refused_queue",
		"requests refused because their queue is full or too slow"),
	COUNTER(REFUSED_DEADLINE, "refused_deadline",
		"requests that passed their deadline"),
	COUNTER(REFUSED_NO_LEASE, "refused_no_lease",
		"requests refused without a lease"),
	COUNTER(OUTCOME_UNKNOWN, "outcome_unknown",
		"writes whose outcome is unknown to the caller"),
	COUNTER(OUTCOME_FAILED, "outcome_failed",
		"requests that ran and were rolled back"),
	COUNTER(RETRIES, "retries", "requests run on another upstream"),
	COUNTER(RETRIES_DENIED, "retries_denied",
		"failed requests that were not run again"),
	COUNTER(COMMITS_WAITED, "commits_waited",
		"commits that waited for replicas"),
	COUNTER(COMMITS_ACKNOWLEDGED, "commits_acknowledged",
		"commits acknowledged to callers"),
	COUNTER(POSITION_QUERIES, "position_queries",
		"position queries sent to upstreams"),
	COUNTER(PROBES_MISSED, "probes_missed", "probes without an answer"),
	COUNTER(UPSTREAM_OPENED, "upstream_opened",
		"upstream connections that finished their start-up"),
	COUNTER(UPSTREAM_CLOSED, "upstream_closed",
		"upstream connections closed"),
	COUNTER(UPSTREAM_FAILED, "upstream_failed",
		"upstream connections refused at start-up"),
	GAUGE(UPSTREAM_OPEN, "upstream_open", "upstream connections open"),
	COUNTER(LOOKUPS, "session_lookups",
		"reads that asked the owners of the session"),
	COUNTER(LOOKUPS_UNREACHED, "session_lookups_unreached",
		"lookups without a majority of answers in time"),
	COUNTER(CANCELS, "cancels", "cancel requests passed on"),
	COUNTER(CANCELS_LATE, "cancels_late",
		"cancel requests for a request that had ended, or with a "
		"wrong key"),
	COUNTER(ANNOUNCEMENTS, "announcements",
		"announcements of upstreams accepted"),
	COUNTER(ANNOUNCEMENTS_MALFORMED, "announcements_malformed",
		"announcements refused as malformed"),
	COUNTER(ANNOUNCEMENTS_STALE, "announcements_stale",
		"announcements older than what is known"),
	COUNTER(NEWS_SENT, "news_sent", "announcements passed on to daemons"),
	COUNTER(NEWS_RECEIVED, "news_received",
		"announcements received from daemons"),
	COUNTER(BUS_UNKNOWN, "bus_unknown",
		"messages on the bus that no module takes"),
};

void proxy_counters_init(struct proxy *proxy)
{
	const struct counter_name *at;
	size_t i;

	counter_set_init(&proxy->counters);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		at = &names[i];
		proxy->counter[at->which] =
			at->gauge ? counter_register_gauge(&proxy->counters,
							   at->name, at->help) :
				    counter_register(&proxy->counters, at->name,
						     at->help);
	}
}
