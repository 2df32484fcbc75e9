#include "connection_limits.h"

static bool reached(unsigned nr, unsigned max)
{
	return max && nr >= max;
}

enum connection_admission
connection_admit(const struct connection_limits *limits, unsigned nr_open,
		 unsigned nr_startups, unsigned nr_of_address)
{
	if (reached(nr_open, limits->max_connections))
		return CONNECTION_REFUSED_COUNT;
	if (reached(nr_of_address, limits->max_per_address))
		return CONNECTION_REFUSED_ADDRESS;
	if (reached(nr_startups, limits->max_startups))
		return CONNECTION_EVICTS_STARTUP;
	return CONNECTION_ADMITTED;
}

enum connection_pace connection_pace(const struct connection_limits *limits,
				     size_t total, size_t held, bool preferred)
{
	if (!limits->budget || held <= CONNECTION_ALLOWANCE || preferred)
		return CONNECTION_READ;
	return total > limits->budget / 2 ? CONNECTION_PAUSE : CONNECTION_READ;
}

bool connection_must_shed(const struct connection_limits *limits, size_t total)
{
	return limits->budget && total > limits->budget;
}

/* The added second lets size decide among connections of the same age. */
double connection_weight(size_t held, int64_t held_for_us)
{
	return (double)held * ((double)held_for_us + 1e6);
}

static bool is_late(int64_t since_us, int64_t timeout_us, int64_t now_us)
{
	return since_us && timeout_us && now_us - since_us > timeout_us;
}

enum connection_fault
connection_fault_of(const struct connection_limits *limits,
		    const struct connection_ages *ages, int64_t now_us)
{
	if (is_late(ages->startup_us, limits->startup_timeout_us, now_us))
		return CONNECTION_STARTUP_LATE;
	if (is_late(ages->unread_us, limits->unread_timeout_us, now_us))
		return CONNECTION_UNREAD;
	if (is_late(ages->message_us, limits->message_timeout_us, now_us))
		return CONNECTION_MESSAGE_LATE;
	if (is_late(ages->transaction_us, limits->transaction_idle_us, now_us))
		return CONNECTION_TRANSACTION_IDLE;
	return CONNECTION_SOUND;
}

unsigned connection_max(unsigned wanted, uint64_t descriptors,
			unsigned reserved)
{
	uint64_t kept = reserved < descriptors / 2 ? reserved : descriptors / 2;
	uint64_t left = descriptors - kept;

	if (!left)
		left = 1;
	return left < wanted ? (unsigned)left : wanted;
}
