#ifndef CLIENT_LIMITS_H
#define CLIENT_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Decides by bytes held, age and count what to do with connections of
 * clients.
 *
 * Does no I/O. All connections of a process share one budget of bytes: input,
 * statements under way, session values, prepared statements and output. As it
 * fills up, clients that hold much are no longer read, then connections and
 * statements are refused, then those that have held most for the longest are
 * closed. A limit of 0 is not enforced.
 */

/** A client that holds no more than this is neither paused nor closed, bytes,
 * unless so many hold as much that half of the budget does not suffice. */
#define CLIENT_SMALL_BYTES (64u * 1024)
/** A client that holds no more than this never is, bytes. */
#define CLIENT_SMALL_MIN_BYTES (8u * 1024)
/** A message of at most this length is never refused for lack of memory: the
 * end of a transaction must be possible. */
#define CLIENT_SMALL_MESSAGE_BYTES 4096u
/** Allocations of a connection that are not counted one by one, bytes. */
#define CLIENT_CONNECTION_BYTES 4096u
/** Copies of a message that exist while it is a statement. */
#define CLIENT_MESSAGE_COPIES 3
/** Time for which a budget that is half used may pause clients before the one
 * that holds most is closed, microseconds. */
#define CLIENT_PAUSE_MAX_US (1000 * 1000ll)
/** Callers give up a startup after 2 s, so an older one may be closed to make
 * room for another connection, microseconds. */
#define CLIENT_ABANDONED_STARTUP_US (2500 * 1000ll)

/**
 * struct client_limits - limits of one process
 * @budget_bytes: memory that all clients may take together
 * @session_bytes: values and prepared statements of one session
 * @answer_bytes: one answer of an upstream
 * @connections: connections of callers
 * @starting: those of them that have not started a session
 * @per_address: those of them from one address
 * @relays: connections of other daemons that relay statements
 * @startup_us: time from the connection to the first complete message
 * @message_us: time from the first byte of a message to its end
 * @answer_us: time in which a client reads nothing of a pending answer
 */
struct client_limits {
	size_t budget_bytes;
	size_t session_bytes;
	size_t answer_bytes;
	unsigned connections;
	unsigned starting;
	unsigned per_address;
	unsigned relays;
	int64_t startup_us;
	int64_t message_us;
	int64_t answer_us;
};

/**
 * struct client_usage - what the clients of the process take now
 * @held_bytes: bytes of all buffers and tables that count
 * @paused: connections that are not read for lack of memory
 */
struct client_usage {
	size_t held_bytes;
	unsigned connections;
	unsigned starting;
	unsigned paused;
};

/** enum client_limit - the limit that a decision was based on */
enum client_limit {
	CLIENT_LIMIT_NONE,
	/** not read for lack of memory */
	CLIENT_LIMIT_PAUSED,
	/** connection refused for lack of memory */
	CLIENT_LIMIT_CONNECTION_MEMORY,
	/** statement refused for lack of memory */
	CLIENT_LIMIT_STATEMENT_MEMORY,
	/** closed as it held most for the longest */
	CLIENT_LIMIT_CLOSED_MEMORY,
	CLIENT_LIMIT_SESSION_STATE,
	CLIENT_LIMIT_ANSWER_SIZE,
	CLIENT_LIMIT_CONNECTIONS,
	CLIENT_LIMIT_STARTING,
	CLIENT_LIMIT_PER_ADDRESS,
	CLIENT_LIMIT_RELAYS,
	CLIENT_LIMIT_STARTUP_TIME,
	CLIENT_LIMIT_MESSAGE_TIME,
	CLIENT_LIMIT_ANSWER_TIME,
	CLIENT_LIMIT_NR,
};

/**
 * client_limits_set_defaults() - derive the limits that follow from the VM
 * @memory_mb: memory of the VM, 0 if unknown
 * @max_fds: descriptors of the process, 0 if unknown
 *
 * Without either, no limit is set.
 */
void client_limits_set_defaults(struct client_limits *limits,
				unsigned memory_mb, unsigned max_fds);

/** client_limits_admit() - Return: CLIENT_LIMIT_NONE or why a new connection is
 * refused; @same_address are those open from its address */
enum client_limit client_limits_admit(const struct client_limits *limits,
				      const struct client_usage *usage,
				      unsigned same_address);
/** client_limits_small_bytes() - what a client holds at most that is neither
 * paused nor closed now */
size_t client_limits_small_bytes(const struct client_limits *limits,
				 const struct client_usage *usage);
/** client_limits_may_read() - whether to read from a client that holds
 * @held_bytes */
bool client_limits_may_read(const struct client_limits *limits,
			    const struct client_usage *usage,
			    size_t held_bytes);
/** client_limits_may_resume() - whether clients that are paused are read again */
bool client_limits_may_resume(const struct client_limits *limits,
			      const struct client_usage *usage);
/** client_limits_takes_message() - whether a message of @len bytes is handled */
bool client_limits_takes_message(const struct client_limits *limits,
				 const struct client_usage *usage, size_t len);
/** client_limits_takes_state() - whether a session that holds @state_bytes may
 * add @len bytes of values and prepared statements */
bool client_limits_takes_state(const struct client_limits *limits,
			       const struct client_usage *usage,
			       size_t state_bytes, size_t len);
/** client_limits_takes_answer() - whether @len bytes of an answer that is not
 * complete are kept */
bool client_limits_takes_answer(const struct client_limits *limits,
				const struct client_usage *usage, size_t len);
/**
 * client_limits_must_close() - whether to close the client that has held most
 *                              for the longest
 * @paused_us: time for which clients have been paused, 0 if none are
 */
bool client_limits_must_close(const struct client_limits *limits,
			      const struct client_usage *usage,
			      int64_t paused_us);
/** client_limits_weight() - order of clients to close, 0 for one that is kept;
 * @held_us is the time for which it has not been small */
uint64_t client_limits_weight(const struct client_limits *limits,
			      const struct client_usage *usage,
			      size_t held_bytes, int64_t held_us);

/**
 * struct client_ages - times since which a client owes something, 0 for none
 * @startup_us: when it connected, if it has not sent its first message
 * @message_us: when the first byte of an incomplete message came
 * @answer_us: when it last read of an answer, if one is pending
 */
struct client_ages {
	int64_t startup_us;
	int64_t message_us;
	int64_t answer_us;
};

/** client_limits_overdue() - Return: the time that has passed or
 * CLIENT_LIMIT_NONE */
enum client_limit client_limits_overdue(const struct client_limits *limits,
					const struct client_ages *ages,
					int64_t now_us);

#endif
