#include "clock.h"
#include "entry/internal.h"
#include "platform/callers.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.71.1.1:39271"
#define PORT 39271
#define CALLERS_IP 0x7f470101
/* Time for an exchange on a busy machine, microseconds. */
#define PATIENCE_US (10 * 1000000ll)

/* Callers of an entry daemon without upstreams: statements that it answers
 * itself. */
static struct ev_loop *loop;
static struct timer_service timers;
static struct entry *entry;
static struct callers *callers;

static const struct upstream_ops no_upstreams;

static struct entry_table *make_table(void)
{
	struct entry_table *table = entry_table_new(1);
	struct entry_route route = { .database = g_strdup("db"),
				     .service = g_strdup("s"),
				     .statement_us = 800000 };

	entry_table_add_route(table, &route);
	return table;
}

static void setup(const struct client_limits *limits)
{
	struct entry_config config = { .name = "e",
				       .availability_zone = "z",
				       .ip = CALLERS_IP,
				       .port = PORT + 1,
				       .seeds = g_array_new(FALSE, FALSE, 4),
				       .grace_us = 6000000,
				       .upstream_ops = &no_upstreams,
				       .limits = *limits };
	GError *error = NULL;

	loop = ev_default_loop(0);
	timer_service_init(&timers);
	entry = entry_new(loop, &timers, &config, &error);
	g_array_free(config.seeds, TRUE);
	ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
	entry->table = make_table();
	callers = callers_new(loop, entry, ADDRESS, &error);
	ck_assert_ptr_nonnull(callers);
}

static void teardown(void)
{
	callers_free(callers);
	ck_assert_uint_eq(entry->usage.connections, 0);
	ck_assert_uint_eq(entry->usage.starting, 0);
	ck_assert_uint_eq(entry->usage.paused, 0);
	entry_free(entry);
	timer_service_finish(&timers);
}

static int connect_caller(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(PORT),
				    .sin_addr.s_addr = htonl(CALLERS_IP) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void send_all(int fd, const char *text, size_t len)
{
	int64_t end_us = clock_now_us() + PATIENCE_US;

	while (len) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		ck_assert_int_lt(clock_now_us(), end_us);
		ev_run(loop, EVRUN_NOWAIT);
		text += MAX(n, 0);
		len -= (size_t)MAX(n, 0);
	}
}

/* Return: what comes until there are @nr times @text or the connection ends */
static GString *receive(int fd, const char *text, unsigned nr)
{
	int64_t end_us = clock_now_us() + PATIENCE_US;
	GString *read = g_string_new(NULL);

	while (clock_now_us() < end_us) {
		const char *at = read->str;
		char buffer[16 * 1024];
		unsigned found = 0;
		ssize_t n;

		while ((at = strstr(at, text))) {
			at += strlen(text);
			found++;
		}
		if (found >= nr)
			break;
		ev_run(loop, EVRUN_NOWAIT);
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (!n)
			break;
		if (n > 0)
			g_string_append_len(read, buffer, n);
		else
			g_usleep(1000);
	}
	return read;
}

static void expect(int fd, const char *request, const char *answer)
{
	GString *read;

	send_all(fd, request, strlen(request));
	read = receive(fd, answer, 1);
	ck_assert_msg(strstr(read->str, answer) != NULL, "%s", read->str);
	g_string_free(read, TRUE);
}

static void expect_end(int fd)
{
	GString *read = receive(fd, "\n\n", 1);

	ck_assert_uint_eq(read->len, 0);
	ck_assert_int_eq(recv(fd, &(char){ 0 }, 1, 0), 0);
	g_string_free(read, TRUE);
}

/* Guards against statements that are never answered, as they came while the
 * routes were not known yet. */
START_TEST(test_early_statements)
{
	struct client_limits limits = { 0 };
	GString *lines = g_string_new("START db key\r\n");
	unsigned nr = 8000, i;
	GString *read;
	int fd;

	setup(&limits);
	g_clear_pointer(&entry->table, entry_table_unref);
	for (i = 0; i < nr; i++)
		g_string_append(lines, "QUERY 1 SET a b\r\n");
	fd = connect_caller();
	send_all(fd, lines->str, lines->len);
	for (i = 0; i < 100; i++)
		ev_run(loop, EVRUN_NOWAIT);
	entry->table = make_table();
	sessions_tick(entry, clock_now_us());
	read = receive(fd, "READY I", nr + 1);
	i = 0;
	for (const char *at = read->str; (at = strstr(at, "READY I")); at++)
		i++;
	ck_assert_uint_eq(i, nr + 1);
	g_string_free(read, TRUE);
	g_string_free(lines, TRUE);
	close(fd);
	teardown();
}
END_TEST

/* Guards against more callers than the limits allow, and against a limit that
 * still applies after callers have left. */
START_TEST(test_counts)
{
	struct client_limits total = { .connections = 2 };
	struct client_limits per_address = { .per_address = 2 };
	unsigned round;

	for (round = 0; round < 2; round++) {
		int a, b, c;

		setup(round ? &per_address : &total);
		a = connect_caller();
		b = connect_caller();
		expect(a, "START db key\r\n", "READY I");
		expect(b, "START db key\r\n", "READY I");
		c = connect_caller();
		expect(c, "", "ERR BUSY");
		close(c);
		expect(b, "QUERY 1 SET a b\r\n", "READY I");
		close(a);
		while (entry->usage.connections > 1)
			ev_run(loop, EVRUN_ONCE);
		c = connect_caller();
		expect(c, "START db key\r\n", "READY I");
		close(b);
		close(c);
		teardown();
	}
}
END_TEST

/* Guards against callers that stop half-way and are kept for good, and against
 * closing one that is idle between statements. */
START_TEST(test_times)
{
	struct client_limits limits = { .startup_us = 300000,
					.message_us = 300000 };
	int idle, startup, message;

	setup(&limits);
	idle = connect_caller();
	expect(idle, "START db key\r\n", "READY I");
	message = connect_caller();
	expect(message, "START db key\r\n", "READY I");
	send_all(message, "QUERY 1 SE", 10);
	startup = connect_caller();
	send_all(startup, "STAR", 4);
	expect_end(startup);
	expect_end(message);
	expect(idle, "QUERY 1 SET a b\r\n", "READY I");
	close(idle);
	close(startup);
	close(message);
	teardown();
}
END_TEST

/* Guards against a large statement that is taken although the budget is used
 * up, and against one that cannot be sent again, or ends its transaction. */
START_TEST(test_no_memory)
{
	struct client_limits limits;
	g_autofree char *value = g_strnfill(20000, 'v');
	g_autofree char *large = g_strdup_printf("QUERY 1 SET a %s\r\n", value);
	size_t held;
	int fd;

	client_limits_set_defaults(&limits, 64, 0);
	setup(&limits);
	fd = connect_caller();
	expect(fd, "START db key\r\n", "READY I");
	expect(fd, "QUERY 1 BEGIN\r\n", "READY T");
	held = limits.budget_bytes * 9 / 10;
	entry->usage.held_bytes += held;
	expect(fd, large, "ERR BUSY");
	expect(fd, "QUERY 2 ROLLBACK\r\n", "DONE -\r\nREADY I");
	entry->usage.held_bytes -= held;
	expect(fd, large, "DONE -\r\nREADY I");
	close(fd);
	teardown();
}
END_TEST

/* Guards against a session whose values grow without a bound, and against one
 * that cannot replace or remove what it has. */
START_TEST(test_session_state)
{
	struct client_limits limits;
	g_autofree char *value = g_strnfill(500 * 1024, 'v');
	unsigned i;
	int fd;

	client_limits_set_defaults(&limits, 64, 0);
	setup(&limits);
	fd = connect_caller();
	expect(fd, "START db key\r\n", "READY I");
	for (i = 0; i < 5; i++) {
		g_autofree char *line = g_strdup_printf(
			"QUERY 1 PREPARE n%u READ %s\r\n", i, value);

		expect(fd, line, i < 4 ? "DONE -\r\nREADY I" : "ERR BUSY");
	}
	expect(fd, "QUERY 1 DEALLOC n0\r\n", "DONE -\r\nREADY I");
	expect(fd, "QUERY 1 PREPARE n0 READ x\r\n", "DONE -\r\nREADY I");
	expect(fd, "QUERY 1 PREPARE n1 READ x\r\n", "DONE -\r\nREADY I");
	close(fd);
	while (entry->sessions.length)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_uint_eq(entry->usage.held_bytes, 0);
	teardown();
}
END_TEST

/* Guards against a caller that stays paused although it holds little: neither is
 * it read, nor is it one of those that are closed. */
START_TEST(test_resume)
{
	struct client_limits limits;
	g_autofree char *value = g_strnfill(20000, 'v');
	size_t held;
	int fd;

	client_limits_set_defaults(&limits, 64, 0);
	setup(&limits);
	fd = connect_caller();
	expect(fd, "START db key\r\n", "READY I");
	held = limits.budget_bytes * 6 / 10;
	entry->usage.held_bytes += held;
	entry->usage.connections += 5000;
	send_all(fd, "QUERY 1 SET a ", 14);
	send_all(fd, value, strlen(value));
	while (!entry->usage.paused)
		ev_run(loop, EVRUN_ONCE);
	entry->usage.connections -= 5000;
	expect(fd, "\r\n", "DONE -\r\nREADY I");
	ck_assert_uint_eq(entry->usage.paused, 0);
	entry->usage.held_bytes -= held;
	close(fd);
	teardown();
}
END_TEST

TEST_MAIN("callers", test_early_statements, test_counts, test_times,
	  test_no_memory, test_session_state, test_resume)
