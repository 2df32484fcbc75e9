#include "client_limits.h"

/* Shares of the budget, percent. */
#define PAUSE_PERCENT 50
#define RESUME_PERCENT 40
#define REFUSE_PERCENT 75
#define CLOSE_PERCENT 90
/* The other half of the VM's memory is for the program, allocator overhead and
 * the kernel. */
#define BUDGET_DIVISOR 2
/* One message of 1 MiB and its copies fit on any VM, bytes. */
#define BUDGET_MIN_BYTES (8u * 1024 * 1024)
#define CONNECTIONS_MIN 16
/* One session or answer cannot take the budget alone. */
#define SESSION_DIVISOR 16
#define ANSWER_DIVISOR 8
/* A value or row of the largest message is taken on any VM, bytes. */
#define SHARE_MIN_BYTES (2u * 1024 * 1024)
/* Descriptors reserved for upstreams, control, other daemons, HTTP and logs, in
 * sixteenths. With 4,200 descriptors 2,888 callers remain. */
#define RESERVED_SIXTEENTHS 5
#define RELAYS_SIXTEENTHS 3
#define RELAYS_MIN 8
/* Relaying daemons where the number of descriptors is not known. */
#define RELAYS_DEFAULT 256
#define STARTUP_US (10 * 1000000ll)
/* At 2 Mbit/s a message of 1 MiB takes 4 s, and others share the line. */
#define MESSAGE_US (60 * 1000000ll)
#define ANSWER_US (60 * 1000000ll)
/* Weight of a client that has just ceased to be small, as time. */
#define WEIGHT_MIN_US (100 * 1000ll)

static size_t share_of(size_t budget_bytes, size_t divisor)
{
	size_t share = budget_bytes / divisor;

	return budget_bytes && share < SHARE_MIN_BYTES ? SHARE_MIN_BYTES :
							 share;
}

void client_limits_set_defaults(struct client_limits *limits,
				unsigned memory_mb, unsigned max_fds)
{
	size_t memory = (size_t)memory_mb * 1024 * 1024;

	*limits = (struct client_limits){ 0 };
	if (!memory_mb && !max_fds)
		return;
	limits->budget_bytes = memory / BUDGET_DIVISOR;
	if (memory && limits->budget_bytes < BUDGET_MIN_BYTES)
		limits->budget_bytes = BUDGET_MIN_BYTES;
	limits->session_bytes = share_of(limits->budget_bytes, SESSION_DIVISOR);
	limits->answer_bytes = share_of(limits->budget_bytes, ANSWER_DIVISOR);
	limits->connections = max_fds - max_fds * RESERVED_SIXTEENTHS / 16;
	if (max_fds && limits->connections < CONNECTIONS_MIN)
		limits->connections = CONNECTIONS_MIN;
	limits->relays = max_fds * RELAYS_SIXTEENTHS / 16;
	if (limits->relays < RELAYS_MIN)
		limits->relays = RELAYS_MIN;
	if (!max_fds)
		limits->relays = RELAYS_DEFAULT;
	limits->startup_us = STARTUP_US;
	limits->message_us = MESSAGE_US;
	limits->answer_us = ANSWER_US;
}

/* Whether @bytes more are within @percent of the budget. */
static bool fits(const struct client_limits *limits,
		 const struct client_usage *usage, size_t bytes,
		 unsigned percent)
{
	return !limits->budget_bytes ||
	       usage->held_bytes + bytes <=
		       limits->budget_bytes / 100 * percent;
}

enum client_limit client_limits_admit(const struct client_limits *limits,
				      const struct client_usage *usage,
				      unsigned same_address)
{
	if (limits->connections && usage->connections >= limits->connections)
		return CLIENT_LIMIT_CONNECTIONS;
	if (limits->starting && usage->starting >= limits->starting)
		return CLIENT_LIMIT_STARTING;
	if (limits->per_address && same_address >= limits->per_address)
		return CLIENT_LIMIT_PER_ADDRESS;
	if (!fits(limits, usage, CLIENT_CONNECTION_BYTES, REFUSE_PERCENT))
		return CLIENT_LIMIT_CONNECTION_MEMORY;
	return CLIENT_LIMIT_NONE;
}

size_t client_limits_small_bytes(const struct client_limits *limits,
				 const struct client_usage *usage)
{
	size_t share = CLIENT_SMALL_BYTES;

	if (limits->budget_bytes && usage->connections)
		share = limits->budget_bytes / 100 * PAUSE_PERCENT /
			usage->connections;
	if (share < CLIENT_SMALL_MIN_BYTES)
		return CLIENT_SMALL_MIN_BYTES;
	return share < CLIENT_SMALL_BYTES ? share : CLIENT_SMALL_BYTES;
}

bool client_limits_may_read(const struct client_limits *limits,
			    const struct client_usage *usage, size_t held_bytes)
{
	return held_bytes <= client_limits_small_bytes(limits, usage) ||
	       fits(limits, usage, 0, PAUSE_PERCENT);
}

bool client_limits_may_resume(const struct client_limits *limits,
			      const struct client_usage *usage)
{
	return fits(limits, usage, 0, RESUME_PERCENT);
}

bool client_limits_takes_message(const struct client_limits *limits,
				 const struct client_usage *usage, size_t len)
{
	return len <= CLIENT_SMALL_MESSAGE_BYTES ||
	       fits(limits, usage, CLIENT_MESSAGE_COPIES * len, REFUSE_PERCENT);
}

bool client_limits_takes_state(const struct client_limits *limits,
			       const struct client_usage *usage,
			       size_t state_bytes, size_t len)
{
	if (limits->session_bytes && state_bytes + len > limits->session_bytes)
		return false;
	return fits(limits, usage, len, REFUSE_PERCENT);
}

bool client_limits_takes_answer(const struct client_limits *limits,
				const struct client_usage *usage, size_t len)
{
	if (limits->answer_bytes && len > limits->answer_bytes)
		return false;
	return len <= CLIENT_SMALL_BYTES ||
	       fits(limits, usage, len, CLOSE_PERCENT);
}

bool client_limits_must_close(const struct client_limits *limits,
			      const struct client_usage *usage,
			      int64_t paused_us)
{
	if (!fits(limits, usage, 0, CLOSE_PERCENT))
		return true;
	return paused_us > CLIENT_PAUSE_MAX_US &&
	       !fits(limits, usage, 0, RESUME_PERCENT);
}

uint64_t client_limits_weight(const struct client_limits *limits,
			      const struct client_usage *usage,
			      size_t held_bytes, int64_t held_us)
{
	if (held_bytes <= client_limits_small_bytes(limits, usage))
		return 0;
	if (held_us < 0)
		held_us = 0;
	return held_bytes / 1024 * (uint64_t)(held_us + WEIGHT_MIN_US);
}

static bool is_overdue(int64_t since_us, int64_t limit_us, int64_t now_us)
{
	return since_us && limit_us && now_us - since_us > limit_us;
}

enum client_limit client_limits_overdue(const struct client_limits *limits,
					const struct client_ages *ages,
					int64_t now_us)
{
	if (is_overdue(ages->startup_us, limits->startup_us, now_us))
		return CLIENT_LIMIT_STARTUP_TIME;
	if (is_overdue(ages->message_us, limits->message_us, now_us))
		return CLIENT_LIMIT_MESSAGE_TIME;
	if (is_overdue(ages->answer_us, limits->answer_us, now_us))
		return CLIENT_LIMIT_ANSWER_TIME;
	return CLIENT_LIMIT_NONE;
}
