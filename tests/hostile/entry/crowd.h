#ifndef HOSTILE_CROWD_H
#define HOSTILE_CROWD_H

#include "hostile.h"

/**
 * DOC: An entry daemon under test and crowds of its clients.
 *
 * The settings and bounds are the same for all loads: 64 MB of memory and 96
 * descriptors, of which the daemon is to leave some unused.
 */

/** Memory of the VM in the settings, MB, and the bound of the peak, kB. */
#define CROWD_MEMORY_MB 64
#define CROWD_MAX_KB (CROWD_MEMORY_MB * 1024ul)
/** Descriptor limit of the process, and the bound of those in use. */
#define CROWD_MAX_FDS 96
#define CROWD_FDS_BOUND 88
/** Port of the metrics of each daemon. */
#define CROWD_METRICS_PORT 9190
/** Longest line with CR LF, bytes. */
#define CROWD_LINE_BYTES (1024u * 1024)

/**
 * struct crowd - the daemon, and clients that connected to it
 * @fds: sockets, -1 where the daemon refused or closed the connection
 * @nr: number of elements of @fds in use
 */
struct crowd {
	struct hostile_process process;
	uint16_t callers_port;
	uint16_t ready_port;
	uint16_t internal_port;
	int fds[512];
	unsigned nr;
};

/** crowd_start() - start the daemon and wait until it serves */
void crowd_start(struct crowd *crowd, const char *program);
/** crowd_connect() - add @nr connections to @port of the daemon */
void crowd_connect(struct crowd *crowd, uint16_t port, unsigned nr);
/** crowd_connect_started() - add @nr callers that have sent START */
void crowd_connect_started(struct crowd *crowd, unsigned nr);
/**
 * crowd_send() - send the same to each client in turns
 * @piece: bytes that one client sends before the next one does
 *
 * Ends when all is sent or the daemon has read nothing for a second.
 */
void crowd_send(struct crowd *crowd, const char *data, size_t len,
		size_t piece);
/** crowd_close() - close all connections of the crowd */
void crowd_close(struct crowd *crowd);
/** crowd_check() - check the bounds and one ordinary request */
void crowd_check(struct crowd *crowd);

/** crowd_check_released() - check that the daemon counts no memory for clients
 * that are gone; a daemon without the metric passes */
void crowd_check_released(struct crowd *crowd);

/** crowd_statement() - a QUERY line of @len bytes that an upstream answers */
char *crowd_statement(size_t len);

/* Loads; each leaves its clients connected. */
void load_large_lines(struct crowd *crowd);
void load_small_pieces(struct crowd *crowd);
void load_long_lines(struct crowd *crowd);
void load_pipelined(struct crowd *crowd);
void load_half_start(struct crowd *crowd);
void load_many_callers(struct crowd *crowd);
void load_half_transactions(struct crowd *crowd);
void load_churn(struct crowd *crowd);
void load_large_answers(struct crowd *crowd);
void load_unread_answers(struct crowd *crowd);
void load_values(struct crowd *crowd);
void load_names(struct crowd *crowd);
void load_prepared(struct crowd *crowd);
void load_alone(struct crowd *crowd);
void load_relay_halves(struct crowd *crowd);
void load_relay_lengths(struct crowd *crowd);
void load_relay_services(struct crowd *crowd);
void load_relay_sessions(struct crowd *crowd);
void load_http_halves(struct crowd *crowd);

#endif
