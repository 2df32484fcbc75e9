#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Structured log on standard output, one JSON object per line.
 *
 * Lines are queued in memory and written without blocking. Lines are dropped
 * when the queue is full because the reader has stopped, or when more than
 * EVENT_LOG_LINES_PER_SECOND lines per second are logged. The event
 * "lines_left_out" reports the number of dropped lines.
 */

/** Capacity of the queue of unwritten lines, in bytes. */
#define EVENT_LOG_QUEUE_BYTES (128 * 1024)
/** Average rate limit, in lines per second. */
#define EVENT_LOG_LINES_PER_SECOND 200
/** Number of lines that may be logged in one burst. */
#define EVENT_LOG_BURST_LINES 400

/**
 * event_log_init() - set up the log and make standard output non-blocking
 * @process: name of the daemon, kept by reference; part of each line
 */
void event_log_init(const char *process);

/**
 * event_log() - log an event, subject to the rate limit
 * @event: stable name of the event
 * @fmt: json_pack() format of an object with further members, "" for none
 */
void event_log(const char *event, const char *fmt, ...);

/** event_log_always() - log an event regardless of the rate limit and flush */
void event_log_always(const char *event, const char *fmt, ...);

/**
 * event_log_flush() - write queued lines without blocking
 * Return: whether lines are still queued
 */
bool event_log_flush(void);

/** event_log_dropped_lines() - number of lines dropped since the start */
uint64_t event_log_dropped_lines(void);

/** event_log_set_fd() - log to @fd instead of standard output, for tests */
void event_log_set_fd(int fd);

#endif
