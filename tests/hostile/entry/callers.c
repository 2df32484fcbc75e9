#include "crowd.h"

#include "peers.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Loads of callers: what they send. */

/* Statements of the largest size from many callers at the same time. */
void load_large_lines(struct crowd *crowd)
{
	g_autofree char *line = crowd_statement(CROWD_LINE_BYTES);

	crowd_connect_started(crowd, 48);
	crowd_send(crowd, line, CROWD_LINE_BYTES, CROWD_LINE_BYTES);
}

/* The same in small pieces, and none sends the end. */
void load_small_pieces(struct crowd *crowd)
{
	g_autofree char *line = crowd_statement(CROWD_LINE_BYTES);

	crowd_connect_started(crowd, 64);
	crowd_send(crowd, line, CROWD_LINE_BYTES - 2, 1000);
}

/* Lines without an end: far over the limit. */
void load_long_lines(struct crowd *crowd)
{
	size_t len = 6 * CROWD_LINE_BYTES;
	g_autofree char *line = g_strnfill(len, 'x');

	crowd_connect_started(crowd, 32);
	crowd_connect(crowd, crowd->callers_port, 32);
	crowd_send(crowd, line, len, 16000);
}

/* Thousands of statements on each connection, whose answers are not read. */
void load_pipelined(struct crowd *crowd)
{
	GString *lines = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 4000; i++)
		g_string_append_printf(lines, "QUERY %u READ item-%u\r\n", i,
				       i);
	crowd_connect_started(crowd, 48);
	crowd_send(crowd, lines->str, lines->len, 16000);
	g_string_free(lines, TRUE);
}

/* Connections that stop before START or in the middle of it, more than the
 * daemon has descriptors. */
void load_half_start(struct crowd *crowd)
{
	crowd_connect(crowd, crowd->callers_port, 60);
	crowd_send(crowd, "START d", 7, 7);
	crowd_connect(crowd, crowd->callers_port, 60);
}

/* Callers that start and are idle, more than the daemon has descriptors. */
void load_many_callers(struct crowd *crowd)
{
	crowd_connect_started(crowd, 160);
	hostile_sleep_ms(500);
	hostile_check_bounds(&crowd->process, CROWD_MAX_KB, CROWD_FDS_BOUND);
	crowd_close(crowd);
}

/* Callers that stop inside a transaction, and within a statement there. */
void load_half_transactions(struct crowd *crowd)
{
	static const char text[] = "QUERY 1 BEGIN\r\nQUERY 2 WRITE a b\r\n"
				   "QUERY 3 WRI";

	crowd_connect_started(crowd, 48);
	crowd_send(crowd, text, sizeof(text) - 1, sizeof(text) - 1);
}

static void reset_connection(int fd)
{
	struct linger linger = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Connections that open and close at once, some with a reset, some in the
 * middle of a statement. */
void load_churn(struct crowd *crowd)
{
	static const char text[] = "START db key\r\nQUERY 1 READ rows 4\r\nQUE";
	unsigned i;

	for (i = 0; i < 3000; i++) {
		int fd = hostile_connect(PEERS_ENTRY_IP, crowd->callers_port);

		if (fd < 0)
			continue;
		if (i % 3)
			hostile_send(fd, text, sizeof(text) - 1);
		if (i % 2)
			reset_connection(fd);
		else
			close(fd);
	}
}

/* Answers of 16 MiB, of which the callers read nothing. */
void load_large_answers(struct crowd *crowd)
{
	static const char text[] = "QUERY 1 READ rows 256\r\n";

	crowd_connect_started(crowd, 16);
	crowd_send(crowd, text, sizeof(text) - 1, sizeof(text) - 1);
	hostile_sleep_ms(2000);
}

/* Many answers of 256 KiB on each connection, which are not read. */
void load_unread_answers(struct crowd *crowd)
{
	GString *lines = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 100; i++)
		g_string_append_printf(lines, "QUERY %u READ rows 4\r\n", i);
	crowd_connect_started(crowd, 40);
	crowd_send(crowd, lines->str, lines->len, lines->len);
	hostile_sleep_ms(4000);
	g_string_free(lines, TRUE);
}

/* Reads and discards answers while it sends. */
static void send_and_discard(int fd, const char *data, size_t len)
{
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US;
	static char buffer[64 * 1024];

	while (len && g_get_monotonic_time() < end_us) {
		ssize_t n = hostile_send(fd, data, len);

		if (n < 0)
			return;
		data += n;
		len -= (size_t)n;
		while (recv(fd, buffer, sizeof(buffer), 0) > 0)
			;
		if (!n)
			hostile_sleep_ms(1);
	}
}

static void send_lines(struct crowd *crowd, GString *lines)
{
	crowd_connect_started(crowd, 1);
	send_and_discard(crowd->fds[0], lines->str, lines->len);
	g_string_free(lines, TRUE);
}

/* One session with many large values. */
void load_values(struct crowd *crowd)
{
	g_autofree char *value = g_strnfill(900 * 1024, 'v');
	GString *lines = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 100; i++)
		g_string_append_printf(lines, "QUERY 1 SET name-%u %s\r\n", i,
				       value);
	send_lines(crowd, lines);
}

/* One session with very many small values. */
void load_names(struct crowd *crowd)
{
	GString *lines = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 1500000; i++)
		g_string_append_printf(lines, "QUERY 1 SET name-%u v\r\n", i);
	send_lines(crowd, lines);
}

/* One session with very many prepared statements. */
void load_prepared(struct crowd *crowd)
{
	GString *lines = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 800000; i++)
		g_string_append_printf(
			lines, "QUERY 1 PREPARE name-%u READ item $1\r\n", i);
	send_lines(crowd, lines);
}

static void expect_answer(struct crowd *crowd, const char *line, size_t len,
			  const char *answer)
{
	g_autofree char *text = NULL;
	int fd = crowd->fds[0];
	size_t sent = 0;

	while (sent < len) {
		ssize_t n = hostile_send(fd, line + sent, len - sent);

		g_assert(n >= 0);
		sent += (size_t)n;
		hostile_sleep_ms(1);
	}
	text = hostile_read_until(fd, answer);
	g_assert(text);
}

/* Messages of the largest size, one at a time and nothing else: each is served. */
void load_alone(struct crowd *crowd)
{
	static const char rows[] = "QUERY 1 READ rows 16\r\n";
	static const char set[] = "QUERY 1 SET n";
	g_autofree char *line = crowd_statement(CROWD_LINE_BYTES);
	unsigned i;

	crowd_connect_started(crowd, 1);
	for (i = 0; i < 8; i++) {
		expect_answer(crowd, line, CROWD_LINE_BYTES,
			      "DONE done\r\nREADY I");
		expect_answer(crowd, rows, sizeof(rows) - 1,
			      "DONE rows\r\nREADY I");
	}
	memcpy(line, set, sizeof(set) - 1);
	line[strlen("QUERY 1 SET n")] = ' ';
	for (i = 0; i < 4; i++)
		expect_answer(crowd, line, CROWD_LINE_BYTES,
			      "DONE -\r\nREADY I");
	expect_answer(crowd, rows, sizeof(rows) - 1, "DONE rows\r\nREADY I");
}
