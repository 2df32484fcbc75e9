#include "caller_limits.h"

#include "connection_limits.h"
#include "log.h"
#include "upstream_connection.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time between two log lines about the same limit. */
#define LOG_INTERVAL_US (10 * 1000000ll)
/* Callers above the limit that are still told why, before others are closed
 * without an error: one part in this many of the limit. */
#define REFUSED_SHARE 8
/* Time for a caller to close after its last answer. */
#define CLOSE_WAIT_US (1000 * 1000ll)
/* Part of the budget for prepared statements. */
#define STATEMENTS_SHARE 4

void caller_limits_note(struct proxy *proxy, enum proxy_counter which,
			const char *event, const char *remedy)
{
	int64_t now = proxy_now();

	proxy_count(proxy, which);
	if (proxy->logged_us[which] &&
	    now - proxy->logged_us[which] < LOG_INTERVAL_US)
		return;
	proxy->logged_us[which] = now;
	log_warning("%s; %s", event, remedy);
}

static struct connection_limits limits_of(const struct proxy *proxy)
{
	const struct settings *s = proxy->settings;
	struct connection_limits limits = {
		.budget = s->memory_budget,
		.max_startups = s->max_startups,
		.max_per_address = s->max_callers_per_address,
		.startup_timeout_us = s->startup_timeout_us,
		.message_timeout_us = s->message_timeout_us,
		.transaction_idle_us = s->transaction_idle_us,
		.unread_timeout_us = s->caller_write_timeout_us,
	};

	limits.max_connections = connection_max(
		s->max_callers, proxy->descriptors, s->reserved_descriptors);
	return limits;
}

void caller_limits_init(struct proxy *proxy)
{
	struct rlimit limit;

	proxy->descriptors = UINT64_MAX;
	if (!getrlimit(RLIMIT_NOFILE, &limit))
		proxy->descriptors = limit.rlim_cur;
	proxy->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

bool caller_limits_accept(struct proxy *proxy, int fd)
{
	unsigned max = limits_of(proxy).max_connections;

	if (proxy->nr_callers < max + max / REFUSED_SHARE)
		return true;
	caller_limits_note(proxy, COUNT_CALLERS_REFUSED,
			   "callers are refused: too many are connected",
			   "raise max_callers and the limit on open files");
	close(fd);
	return false;
}

/* The address without the port; callers that have none share one. */
static char *address_of(int fd)
{
	struct sockaddr_storage addr = { 0 };
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)&addr;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&addr;
	socklen_t len = sizeof(addr);

	if (getpeername(fd, (struct sockaddr *)&addr, &len))
		return g_strdup("");
	if (addr.ss_family == AF_INET)
		return g_base64_encode((const guchar *)&v4->sin_addr,
				       sizeof(v4->sin_addr));
	return g_base64_encode((const guchar *)&v6->sin6_addr,
			       sizeof(v6->sin6_addr));
}

static unsigned count_address(struct proxy *proxy, const char *address,
			      int change)
{
	int before =
		GPOINTER_TO_INT(g_hash_table_lookup(proxy->addresses, address));

	if (before + change > 0)
		g_hash_table_insert(proxy->addresses, g_strdup(address),
				    GINT_TO_POINTER(before + change));
	else
		g_hash_table_remove(proxy->addresses, address);
	return before;
}

static void evict_startup(struct proxy *proxy, const struct caller *except)
{
	struct caller *caller, *oldest = NULL;
	guint i;

	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (!caller || caller == except || !caller->in_startup)
			continue;
		if (!oldest || caller->accepted_us < oldest->accepted_us)
			oldest = caller;
	}
	if (!oldest)
		return;
	caller_limits_note(
		proxy, COUNT_CALLERS_EVICTED,
		"callers are closed during startup: too many at once",
		"raise max_startups");
	caller_close(oldest);
}

void caller_limits_opened(struct caller *caller)
{
	struct proxy *proxy = caller->proxy;
	struct connection_limits limits = limits_of(proxy);
	unsigned of_address;

	caller->accepted_us = proxy_now();
	caller->address = address_of(caller->stream.fd);
	of_address = count_address(proxy, caller->address, 1);
	caller->in_startup = true;
	proxy->nr_startups++;
	switch (connection_admit(&limits, proxy->nr_callers - 1,
				 proxy->nr_startups - 1, of_address)) {
	case CONNECTION_ADMITTED:
		return;
	case CONNECTION_EVICTS_STARTUP:
		evict_startup(proxy, caller);
		return;
	case CONNECTION_REFUSED_ADDRESS:
		caller_limits_note(
			proxy, COUNT_CALLERS_REFUSED_ADDRESS,
			"callers are refused: too many of an address",
			"raise max_callers_per_address");
		caller_fatal(caller, "53300",
			     "too many connections from this address",
			     "Close some, or raise max_callers_per_address.");
		return;
	case CONNECTION_REFUSED_COUNT:
		caller_limits_note(
			proxy, COUNT_CALLERS_REFUSED,
			"callers are refused: too many are connected",
			"raise max_callers and the limit on open "
			"files");
		caller_fatal(caller, "53300", "too many callers on this daemon",
			     "Connect again to reach another daemon, or raise "
			     "max_callers.");
		return;
	}
}

void caller_limits_started(struct caller *caller)
{
	if (!caller->in_startup)
		return;
	caller->in_startup = false;
	caller->proxy->nr_startups--;
}

static void hold(struct caller *caller, size_t held)
{
	struct proxy *proxy = caller->proxy;

	proxy->held_bytes += held - caller->held_bytes;
	caller->held_bytes = held;
	if (!held)
		caller->held_since_us = 0;
	else if (!caller->held_since_us)
		caller->held_since_us = proxy_now();
	/* One that does not read its answer must not keep the preference. */
	if (proxy->preferred == caller &&
	    (held <= CONNECTION_ALLOWANCE || caller->stream.above_high_water))
		proxy->preferred = NULL;
}

void caller_limits_closed(struct caller *caller)
{
	caller_limits_started(caller);
	hold(caller, 0);
	count_address(caller->proxy, caller->address, -1);
	g_free(caller->address);
}

/* An emptied buffer of at most this size is kept, by idle callers too; it must
 * not make them count as having held memory for long. */
#define SMALL_BUFFER_BYTES 4096u

static size_t memory_of(const struct pg_buffer *buf)
{
	return buf->size > SMALL_BUFFER_BYTES ? buf->size : 0;
}

static size_t held_by(const struct caller *caller)
{
	const struct request *req = &caller->request;
	size_t held = memory_of(&caller->stream.in) +
		      memory_of(&caller->stream.out) + memory_of(&req->bytes) +
		      memory_of(&req->hold);

	if (req->conn)
		held += memory_of(&req->conn->stream.out);
	return held + (size_t)req->frames * BATCH_FRAME_COST;
}

static bool is_partial(const struct caller *caller)
{
	return caller->state == CALLER_READY && !caller->busy &&
	       !caller->stream.above_high_water &&
	       (pg_buffer_length(&caller->stream.in) ||
		pg_buffer_length(&caller->request.bytes));
}

static void account(struct caller *caller)
{
	hold(caller, held_by(caller));
	if (!is_partial(caller))
		caller->message_since_us = 0;
	else if (!caller->message_since_us)
		caller->message_since_us = proxy_now();
}

void caller_limits_pace(struct caller *caller, bool ahead)
{
	struct proxy *proxy = caller->proxy;
	struct connection_limits limits = limits_of(proxy);
	bool paused;

	account(caller);
	paused = connection_pace(&limits, proxy->held_bytes, caller->held_bytes,
				 proxy->preferred == caller) ==
		 CONNECTION_PAUSE;
	if (paused && !proxy->preferred && !caller->stream.above_high_water) {
		proxy->preferred = caller;
		paused = false;
	}
	if (paused && !caller->paused)
		caller_limits_note(proxy, COUNT_CALLERS_PAUSED,
				   "callers are not read: half of the memory "
				   "for callers is in use",
				   "raise memory_budget if this lasts");
	caller->paused = paused;
	stream_pause(&caller->stream, ahead || paused);
}

bool caller_limits_statements_full(struct proxy *proxy)
{
	if (proxy->statements.bytes <
	    proxy->settings->memory_budget / STATEMENTS_SHARE)
		return false;
	caller_limits_note(proxy, COUNT_STATEMENTS_REFUSED,
			   "prepared statements are refused: their part of the "
			   "memory for callers is in use",
			   "raise memory_budget");
	return true;
}

static void close_late(struct caller *caller, enum connection_fault fault)
{
	struct proxy *proxy = caller->proxy;

	switch (fault) {
	case CONNECTION_SOUND:
	case CONNECTION_STARTUP_LATE:
		return;
	case CONNECTION_UNREAD:
		caller_limits_note(
			proxy, COUNT_CALLERS_STALLED,
			"callers are closed: they do not read their "
			"answers",
			"raise caller_write_timeout if they are slow");
		caller_close(caller);
		return;
	case CONNECTION_MESSAGE_LATE:
		caller_limits_note(proxy, COUNT_CALLERS_LATE_MESSAGE,
				   "callers are closed: a message did not "
				   "arrive in time",
				   "raise message_timeout if they are slow");
		caller_fatal(caller, caller->paused ? "53200" : "08P01",
			     "the message was not complete in time",
			     "Send it again at once and whole, or raise "
			     "message_timeout.");
		return;
	case CONNECTION_TRANSACTION_IDLE:
		caller_limits_note(proxy, COUNT_CALLERS_IDLE_TRANSACTION,
				   "callers are closed: idle in a transaction",
				   "raise transaction_idle_timeout if they "
				   "need more time");
		caller_fatal(caller, "25P03",
			     "the transaction was idle for too long and was "
			     "rolled back",
			     "Run it again without pauses, or raise "
			     "transaction_idle_timeout.");
		return;
	}
}

/* Timers of their own end late startups. */
static struct connection_ages ages_of(const struct caller *caller)
{
	struct connection_ages ages = {
		.unread_us = caller->stream.stalled_since_us,
		.message_us = caller->message_since_us,
	};

	if (caller->state == CALLER_READY && !caller->busy && caller->held)
		ages.transaction_us = caller->idle_since_us;
	return ages;
}

static bool is_done(const struct caller *caller, int64_t now_us)
{
	return caller->state == CALLER_CLOSING &&
	       !pg_buffer_length(&caller->stream.out) &&
	       now_us - caller->closing_us > CLOSE_WAIT_US;
}

static void check(struct caller *caller, const struct connection_limits *limits,
		  int64_t now_us)
{
	struct connection_ages ages;
	enum connection_fault fault;

	if (is_done(caller, now_us)) {
		caller_close(caller);
		return;
	}
	account(caller);
	ages = ages_of(caller);
	fault = connection_fault_of(limits, &ages, now_us);
	if (fault != CONNECTION_SOUND)
		close_late(caller, fault);
	else if (caller->paused)
		caller_input(caller);
}

/* Among paused callers the one that waits the longest may go on. */
static void prefer_oldest(struct proxy *proxy)
{
	struct caller *caller, *oldest = NULL;
	guint i;

	for (i = 0; !proxy->preferred && i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (caller && caller->paused &&
		    (!oldest || caller->held_since_us < oldest->held_since_us))
			oldest = caller;
	}
	if (oldest)
		proxy->preferred = oldest;
}

static struct caller *heaviest(struct proxy *proxy, int64_t now_us)
{
	struct caller *caller, *worst = NULL;
	double weight, largest = 0;
	guint i;

	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (!caller || caller == proxy->preferred ||
		    !caller->held_bytes)
			continue;
		weight = connection_weight(caller->held_bytes,
					   now_us - caller->held_since_us);
		if (weight <= largest)
			continue;
		worst = caller;
		largest = weight;
	}
	return worst;
}

/* An answer that is not read takes memory too, so the error is not queued. */
static void shed(struct proxy *proxy, struct caller *caller)
{
	caller_limits_note(proxy, COUNT_CALLERS_SHED,
			   "callers are closed: the memory for callers is in "
			   "use",
			   "raise memory_budget");
	if (caller->state == CALLER_READY &&
	    !pg_buffer_length(&caller->stream.out))
		caller_fatal(caller, "53200",
			     "this daemon has no memory left for the request",
			     "Send it again after a pause, or raise "
			     "memory_budget.");
	else
		caller_close(caller);
	if (caller->state == CALLER_CLOSED)
		return;
	pg_buffer_finish(&caller->stream.in);
	hold(caller, held_by(caller));
}

void caller_limits_sweep(struct proxy *proxy, int64_t now_us)
{
	struct connection_limits limits = limits_of(proxy);
	struct caller *caller;
	guint i;

	prefer_oldest(proxy);
	for (i = 0; i < proxy->callers->len; i++) {
		caller = proxy->callers->pdata[i];
		if (caller)
			check(caller, &limits, now_us);
	}
	while (connection_must_shed(&limits, proxy->held_bytes)) {
		caller = heaviest(proxy, now_us);
		if (!caller)
			break;
		shed(proxy, caller);
	}
	proxy_gauge(proxy, COUNT_CALLERS_HELD, proxy->held_bytes);
}
