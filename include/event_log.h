#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Structured log lines on standard output, one JSON object each.
 *
 * Lines are kept in memory and written when the descriptor takes them. A
 * reader that stops reading, or more than EVENT_LOG_RATE lines a second, costs
 * lines and never time; how many were left out is itself a line.
 */

/** Lines waiting to be written, bytes. */
#define EVENT_LOG_QUEUE (128 * 1024)
/** Lines a second, on average. */
#define EVENT_LOG_RATE 200
/** Lines that may come at once. */
#define EVENT_LOG_BURST 400

/**
 * event_log_init() - name the process in each line
 * @process: name of the daemon
 */
void event_log_init(const char *process);

/**
 * event_log() - one line
 * @event: stable name of the event
 * @fmt: jansson's json_pack() format of the other members, "" for none
 */
void event_log(const char *event, const char *fmt, ...);

/** event_log_always() - a line that the rate does not drop */
void event_log_always(const char *event, const char *fmt, ...);

/**
 * event_log_flush() - write what the descriptor takes now
 * Return: whether lines are still waiting
 */
bool event_log_flush(void);

uint64_t event_log_left_out(void);

/** event_log_to() - another descriptor than standard output, for tests */
void event_log_to(int fd);

#endif
