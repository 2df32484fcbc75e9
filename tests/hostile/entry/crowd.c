#include "crowd.h"

#include "peers.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Time without progress after which crowd_send() ends, microseconds. */
#define STALLED_US (1000 * 1000ll)
/* Attempts of an ordinary request: the daemon may refuse while it is busy. */
#define REQUEST_US (2 * HOSTILE_PATIENCE_US)

/* What the daemon may count without clients: upstream connections, bytes. */
#define RELEASED_BYTES (256 * 1024ul)

static char *settings_of(const struct crowd *crowd)
{
	return g_strdup_printf(
		"[node]\nname = e\nzone = z1\nip = %s\ninternal_port = %u\n"
		"seeds = %s:%u\ngrace_s = 5\nvm_losses = 1\n"
		"[listen]\ncallers = %s:%u\nready = %s:%u\n"
		"[limits]\nmemory_mb = %d\nmax_fds = %d\nstartup_ms = 2500\n"
		"message_ms = 3000\nanswer_ms = 3000\n",
		PEERS_ENTRY_IP, crowd->internal_port, PEERS_CONTROL_IP,
		crowd->internal_port, PEERS_ENTRY_IP, crowd->callers_port,
		PEERS_ENTRY_IP, crowd->ready_port, CROWD_MEMORY_MB,
		CROWD_MAX_FDS);
}

static bool exchange(int fd, const char *text, const char *answer)
{
	g_autofree char *read = NULL;

	if (hostile_send(fd, text, strlen(text)) <= 0)
		return false;
	read = hostile_read_until(fd, answer);
	return read != NULL;
}

static bool request_once(struct crowd *crowd)
{
	int fd = hostile_connect(PEERS_ENTRY_IP, crowd->callers_port);
	bool ok;

	if (fd < 0)
		return false;
	ok = exchange(fd, "START db key\r\n", "READY I") &&
	     exchange(fd, "QUERY 1 READ one\r\n", "DONE done\r\nREADY I");
	close(fd);
	return ok;
}

static void fail(struct crowd *crowd, const char *why)
{
	fprintf(stderr, "failed: %s\n", why);
	hostile_stop(&crowd->process);
	_exit(1);
}

static void check_request(struct crowd *crowd)
{
	int64_t end_us = g_get_monotonic_time() + REQUEST_US;

	while (!request_once(crowd)) {
		hostile_check_alive(&crowd->process);
		if (g_get_monotonic_time() > end_us)
			fail(crowd, "an ordinary request was not answered");
		hostile_sleep_ms(50);
	}
}

void crowd_start(struct crowd *crowd, const char *program)
{
	g_autofree char *settings = NULL;

	crowd->internal_port = hostile_free_port(PEERS_ENTRY_IP);
	crowd->callers_port = hostile_free_port(PEERS_ENTRY_IP);
	crowd->ready_port = hostile_free_port(PEERS_ENTRY_IP);
	peers_start(crowd->internal_port);
	settings = settings_of(crowd);
	hostile_start(&crowd->process, program, settings, CROWD_MAX_FDS);
	hostile_await_listener(&crowd->process, PEERS_ENTRY_IP,
			       crowd->callers_port);
	check_request(crowd);
}

void crowd_connect(struct crowd *crowd, uint16_t port, unsigned nr)
{
	unsigned i;

	g_assert(crowd->nr + nr <= G_N_ELEMENTS(crowd->fds));
	for (i = 0; i < nr; i++)
		crowd->fds[crowd->nr++] = hostile_connect(PEERS_ENTRY_IP, port);
}

void crowd_connect_started(struct crowd *crowd, unsigned nr)
{
	static const char start[] = "START db key\r\n";
	unsigned i;

	for (i = 0; i < nr; i++) {
		crowd_connect(crowd, crowd->callers_port, 1);
		hostile_send(crowd->fds[crowd->nr - 1], start,
			     sizeof(start) - 1);
	}
}

void crowd_send(struct crowd *crowd, const char *data, size_t len, size_t piece)
{
	g_autofree size_t *sent = g_new0(size_t, crowd->nr);
	int64_t progress_us = g_get_monotonic_time();
	bool all_sent = false;
	unsigned i;

	while (!all_sent && g_get_monotonic_time() - progress_us < STALLED_US) {
		size_t total = 0;

		all_sent = true;
		for (i = 0; i < crowd->nr; i++) {
			ssize_t n = 0;

			if (crowd->fds[i] < 0 || sent[i] == len)
				continue;
			all_sent = false;
			n = hostile_send(crowd->fds[i], data + sent[i],
					 MIN(piece, len - sent[i]));
			sent[i] = n < 0 ? len : sent[i] + (size_t)n;
			total += n > 0 ? (size_t)n : 0;
		}
		if (total)
			progress_us = g_get_monotonic_time();
		else
			hostile_sleep_ms(5);
	}
}

void crowd_close(struct crowd *crowd)
{
	while (crowd->nr)
		if (crowd->fds[--crowd->nr] >= 0)
			close(crowd->fds[crowd->nr]);
}

void crowd_check(struct crowd *crowd)
{
	hostile_sleep_ms(500);
	hostile_check_bounds(&crowd->process, CROWD_MAX_KB, CROWD_FDS_BOUND);
	check_request(crowd);
	hostile_check_bounds(&crowd->process, CROWD_MAX_KB, CROWD_FDS_BOUND);
}

static unsigned long counted_bytes(void)
{
	static const char request[] = "GET /metrics HTTP/1.0\r\n\r\n";
	static const char metric[] = "\nentry_held_bytes ";
	int fd = hostile_connect(PEERS_ENTRY_IP, CROWD_METRICS_PORT);
	g_autofree char *text = NULL;
	const char *line;

	if (fd < 0)
		return ULONG_MAX;
	hostile_send(fd, request, sizeof(request) - 1);
	text = hostile_read_until(fd, "lines_left_out_total");
	close(fd);
	if (!text)
		return ULONG_MAX;
	line = strstr(text, metric);
	return line ? strtoul(line + strlen(metric), NULL, 10) : 0;
}

void crowd_check_released(struct crowd *crowd)
{
	int64_t end_us = g_get_monotonic_time() + REQUEST_US;

	while (counted_bytes() > RELEASED_BYTES) {
		hostile_check_alive(&crowd->process);
		if (g_get_monotonic_time() > end_us)
			fail(crowd, "memory of clients that are gone counts");
		hostile_sleep_ms(100);
	}
}

char *crowd_statement(size_t len)
{
	static const char head[] = "QUERY 1 READ ";
	char *line = g_strnfill(len, 'x');

	memcpy(line, head, sizeof(head) - 1);
	memcpy(line + len - 2, "\r\n", 2);
	return line;
}
