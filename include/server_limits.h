#ifndef SERVER_LIMITS_H
#define SERVER_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Decides which connections of a server wait, are refused or are closed,
 * so that clients outside our control cannot take its memory or descriptors.
 *
 * Pure functions.
 */

/** Descriptors kept for peers, the store and logs: a control daemon alone has 17
 * open, and up to 6 connections to peers. */
#define SERVER_RESERVED_FDS 36u
/** Age below which a connection is not closed for others, microseconds: an
 * ordinary request is complete by then. */
#define SERVER_EVICT_MIN_AGE_US (250 * 1000ll)
/** Connections that may wait for memory before new bodies are refused. */
#define SERVER_MAX_PAUSED 16u

enum server_phase {
	/** no request, or only part of its header, has come */
	SERVER_HEADER,
	/** part of the body, or of a frame, has come */
	SERVER_BODY,
	/** the request is being handled; the client waits */
	SERVER_HANDLER,
	/** the answer is not read yet */
	SERVER_ANSWER,
};

/**
 * struct server_limits - limits of one listening port
 * @max_connections: accepted connections
 * @max_bytes: bytes of all unfinished messages and unread answers together
 * @header_us: time for a header, from the connection or the last answer on
 * @body_us: time for a body or the rest of a frame
 * @answer_us: time in which an answer must be read
 */
struct server_limits {
	unsigned max_connections;
	size_t max_bytes;
	int64_t header_us;
	int64_t body_us;
	int64_t answer_us;
};

/**
 * struct server_holder - what a connection holds
 * @since_us: when its phase began
 */
struct server_holder {
	enum server_phase phase;
	size_t bytes;
	int64_t since_us;
};

enum server_verdict {
	SERVER_READ,
	/** stop reading until others have released memory */
	SERVER_PAUSE,
	/** answer that the server is busy */
	SERVER_REFUSE,
};

/**
 * server_limits_share() - connections of a port that has a part of the
 *                         descriptors
 * @max_fds: descriptors of the process
 * @sixteenths: its part of those that are not reserved
 * @max: most connections whatever the number of descriptors
 */
unsigned server_limits_share(uint64_t max_fds, unsigned sixteenths,
			     unsigned max);

/** server_limits_read() - whether to read @len more bytes of a message
 * @held: bytes that all connections hold */
enum server_verdict server_limits_read(const struct server_limits *limits,
				       size_t held, size_t len);

/** server_limits_begin() - whether to begin to read a message of @len bytes
 * @nr_paused: connections that wait for memory */
enum server_verdict server_limits_begin(const struct server_limits *limits,
					size_t held, size_t len,
					unsigned nr_paused);

/** server_limits_is_overdue() - whether a connection has used up its time */
bool server_limits_is_overdue(const struct server_limits *limits,
			      const struct server_holder *holder,
			      int64_t now_us);

/**
 * server_limits_victim() - choose the connection to close for others
 * Return: index of the one that has held most for the longest, -1 if all are
 *         being handled or younger than SERVER_EVICT_MIN_AGE_US
 */
int server_limits_victim(const struct server_holder *holders, unsigned nr,
			 int64_t now_us);

/**
 * struct table_use - an entry of a table that clients fill by name
 * @in_use: must be kept
 * @gone: whether what it names has left
 * @used_us: when it was last heard of
 */
struct table_use {
	bool in_use;
	bool gone;
	int64_t used_us;
};

/**
 * table_limits_victim() - choose the entry that makes room for another one
 * Return: index of the one that has gone, or else was heard of least recently;
 *         -1 if all are in use
 */
int table_limits_victim(const struct table_use *entries, unsigned nr);

#endif
