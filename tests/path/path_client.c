#include <libpq-fe.h>

#include <arpa/inet.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/*
 * Client of the tests with real processes: libpq against daemons. Each
 * command is one scenario; it prints what it saw and exits 0 if the promise
 * held.
 */

#define FIRST_PORT 21000
#define LAST_PORT 32000

static bool port_is_free(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int rc;

	sa.sin_port = htons(port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rc = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
	close(fd);
	return rc == 0;
}

/* Starts at a place of its own, so that two runs do not meet. */
static int cmd_free_ports(int argc, char **argv)
{
	int want = atoi(argv[0]);
	int span = (LAST_PORT - FIRST_PORT) / want;
	int first = getpid() % span;
	int i, k, base;

	for (i = 0; i < span; i++) {
		base = FIRST_PORT + (first + i) % span * want;
		for (k = 0; k < want && port_is_free(base + k); k++)
			;
		if (k == want) {
			printf("%d\n", base);
			return 0;
		}
	}
	return 1;
}

static PGconn *open_conn(const char *conninfo)
{
	PGconn *conn = PQconnectdb(conninfo);

	if (PQstatus(conn) != CONNECTION_OK) {
		fprintf(stderr, "connect: %s", PQerrorMessage(conn));
		PQfinish(conn);
		return NULL;
	}
	return conn;
}

static bool result_ok(const PGresult *res)
{
	ExecStatusType st = PQresultStatus(res);

	return st == PGRES_COMMAND_OK || st == PGRES_TUPLES_OK ||
	       st == PGRES_EMPTY_QUERY;
}

static const char *sqlstate(const PGresult *res)
{
	const char *text = PQresultErrorField(res, PG_DIAG_SQLSTATE);

	return text ? text : "";
}

static void print_rows(const PGresult *res)
{
	int i, k;

	for (i = 0; i < PQntuples(res); i++) {
		for (k = 0; k < PQnfields(res); k++)
			printf("%s%s", k ? "|" : "", PQgetvalue(res, i, k));
		printf("\n");
	}
}

static int cmd_sql(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);
	PGresult *res;
	int failed = 0;

	if (!conn)
		return 1;
	res = PQexec(conn, argv[1]);
	if (!result_ok(res)) {
		fprintf(stderr, "%s %s", sqlstate(res),
			PQresultErrorMessage(res));
		failed = 1;
	}
	print_rows(res);
	PQclear(res);
	PQfinish(conn);
	return failed;
}

static bool exec_ok(PGconn *conn, const char *sql)
{
	PGresult *res = PQexec(conn, sql);
	bool ok = result_ok(res);

	if (!ok)
		fprintf(stderr, "%s: %s %s", sql, sqlstate(res),
			PQresultErrorMessage(res));
	PQclear(res);
	return ok;
}

static bool exec_fails(PGconn *conn, const char *sql, const char *state)
{
	PGresult *res = PQexec(conn, sql);
	bool ok = !result_ok(res) && !strcmp(sqlstate(res), state);

	if (!ok)
		fprintf(stderr, "%s: expected SQLSTATE %s, got '%s' %s\n", sql,
			state, sqlstate(res), PQresultErrorMessage(res));
	PQclear(res);
	return ok;
}

static bool value_is(PGconn *conn, const char *sql, const char *want)
{
	PGresult *res = PQexec(conn, sql);
	bool ok = result_ok(res) && PQntuples(res) == 1 &&
		  !strcmp(PQgetvalue(res, 0, 0), want);

	if (!ok)
		fprintf(stderr, "%s: expected '%s', got %d rows '%s' %s\n", sql,
			want, PQntuples(res),
			PQntuples(res) ? PQgetvalue(res, 0, 0) : "",
			PQresultErrorMessage(res));
	PQclear(res);
	return ok;
}

#define CHECK(cond)                                                        \
	do {                                                               \
		if (!(cond)) {                                             \
			fprintf(stderr, "line %d: %s\n", __LINE__, #cond); \
			return 1;                                          \
		}                                                          \
	} while (0)

/* Transactions, errors and the refusals of what pooling breaks. */
static int cmd_statements(int argc, char **argv)
{
	PGconn *a = open_conn(argv[0]);
	PGconn *b = open_conn(argv[1]);

	CHECK(a && b);
	CHECK(exec_ok(a, "CREATE TABLE IF NOT EXISTS st (id INTEGER PRIMARY "
			 "KEY, v TEXT)"));
	CHECK(exec_ok(a, "BEGIN"));
	CHECK(exec_ok(a, "INSERT INTO st VALUES (1, 'one')"));
	CHECK(value_is(a, "SELECT count(*) FROM st", "1"));
	CHECK(value_is(b, "SELECT count(*) FROM st", "0"));
	CHECK(exec_ok(a, "ROLLBACK"));
	CHECK(value_is(a, "SELECT count(*) FROM st", "0"));
	CHECK(exec_ok(a, "BEGIN"));
	CHECK(exec_ok(a, "INSERT INTO st VALUES (2, 'two')"));
	CHECK(exec_ok(a, "COMMIT"));
	CHECK(value_is(b, "SELECT v FROM st WHERE id = 2", "two"));
	CHECK(exec_fails(a, "INSERT INTO st VALUES (2, 'again')", "23505"));
	CHECK(exec_fails(a, "SELEC 1", "42601"));
	CHECK(exec_ok(a, "BEGIN"));
	CHECK(exec_fails(a, "SELECT * FROM no_such_table", "42P01"));
	CHECK(exec_fails(a, "SELECT 1", "25P02"));
	CHECK(PQtransactionStatus(a) == PQTRANS_INERROR);
	CHECK(exec_ok(a, "ROLLBACK"));
	CHECK(PQtransactionStatus(a) == PQTRANS_IDLE);
	CHECK(exec_fails(a, "COPY st TO STDOUT", "0A000"));
	CHECK(exec_fails(a, "LISTEN news", "0A000"));
	CHECK(exec_fails(a, "PREPARE p AS SELECT 1", "0A000"));
	CHECK(exec_fails(a, "SET search_path = x", "0A000"));
	/* A text that cannot be read is no matter of pooled connections. */
	CHECK(exec_fails(a, "SELECT 'unterminated", "42601"));
	CHECK(exec_ok(a, ""));
	CHECK(value_is(a, "SELECT count(*) FROM st", "1"));
	PQfinish(a);
	PQfinish(b);
	return 0;
}

/* Prepared statements, parameters and many statements in flight. */
static int cmd_extended(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);
	const char *values[2];
	char id[16], text[32];
	PGresult *res;
	int i, results = 0, errors = 0;

	CHECK(conn);
	CHECK(exec_ok(conn, "CREATE TABLE IF NOT EXISTS ex (id INTEGER "
			    "PRIMARY KEY, v TEXT)"));
	res = PQprepare(conn, "add", "INSERT INTO ex VALUES ($1, $2)", 2, NULL);
	CHECK(result_ok(res));
	PQclear(res);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "%d", i);
		snprintf(text, sizeof(text), "value %d", i);
		values[0] = id;
		values[1] = text;
		res = PQexecPrepared(conn, "add", 2, values, NULL, NULL, 0);
		CHECK(result_ok(res));
		PQclear(res);
	}
	values[0] = "7";
	res = PQexecParams(conn, "SELECT v FROM ex WHERE id = $1", 1, NULL,
			   values, NULL, NULL, 0);
	CHECK(result_ok(res) && PQntuples(res) == 1);
	CHECK(!strcmp(PQgetvalue(res, 0, 0), "value 7"));
	PQclear(res);
	CHECK(PQenterPipelineMode(conn));
	for (i = 0; i < 50; i++) {
		snprintf(id, sizeof(id), "%d", i % 20);
		CHECK(PQsendQueryParams(conn,
					i == 25 ? "SELECT nothing FROM none" :
						  "SELECT v FROM ex WHERE id = "
						  "$1",
					i == 25 ? 0 : 1, NULL, values, NULL,
					NULL, 0));
		CHECK(PQpipelineSync(conn));
	}
	for (i = 0; i < 50; i++) {
		res = PQgetResult(conn);
		CHECK(res);
		if (PQresultStatus(res) == PGRES_TUPLES_OK)
			results++;
		else
			errors++;
		PQclear(res);
		CHECK(!PQgetResult(conn));
		res = PQgetResult(conn);
		CHECK(PQresultStatus(res) == PGRES_PIPELINE_SYNC);
		PQclear(res);
	}
	CHECK(results == 49 && errors == 1);
	CHECK(PQexitPipelineMode(conn));
	PQfinish(conn);
	return 0;
}

/* A session that roams between daemons on every request. */
static int cmd_roam(int argc, char **argv)
{
	int rounds = atoi(argv[0]);
	int nr = argc - 1;
	PGconn **conn = calloc(nr, sizeof(*conn));
	char sql[128], want[32];
	PGresult *res;
	int i, stale = 0, failed = 0;

	for (i = 0; i < nr; i++) {
		conn[i] = open_conn(argv[1 + i]);
		CHECK(conn[i]);
	}
	CHECK(exec_ok(conn[0], "CREATE TABLE IF NOT EXISTS roam (id INTEGER "
			       "PRIMARY KEY, v INTEGER)"));
	CHECK(exec_ok(conn[0], "DELETE FROM roam"));
	CHECK(exec_ok(conn[0], "INSERT INTO roam VALUES (1, 0)"));
	for (i = 1; i <= rounds; i++) {
		snprintf(sql, sizeof(sql), "UPDATE roam SET v = %d", i);
		CHECK(exec_ok(conn[i % nr], sql));
		snprintf(want, sizeof(want), "%d", i);
		res = PQexec(conn[(i + 1) % nr], "SELECT v FROM roam");
		if (!result_ok(res) || PQntuples(res) != 1)
			failed++;
		else if (strcmp(PQgetvalue(res, 0, 0), want))
			stale++;
		PQclear(res);
	}
	for (i = 0; i < nr; i++)
		PQfinish(conn[i]);
	free(conn);
	printf("rounds %d stale %d failed %d\n", rounds, stale, failed);
	return stale || failed;
}

/* Writes one row; returns 'd' done, 'n' did not run, 'u' unknown. */
static char write_row(PGconn **conn, const char *conninfo, int id)
{
	char sql[128], outcome;
	PGresult *res;

	if (!*conn)
		*conn = open_conn(conninfo);
	if (!*conn)
		return 'n';
	snprintf(sql, sizeof(sql), "INSERT INTO landed VALUES (%d)", id);
	res = PQexec(*conn, sql);
	if (result_ok(res))
		outcome = 'd';
	else if (!strcmp(sqlstate(res), "57P03") ||
		 !strcmp(sqlstate(res), "53300") ||
		 !strcmp(sqlstate(res), "57P05"))
		outcome = 'n';
	else
		outcome = 'u';
	PQclear(res);
	if (PQstatus(*conn) != CONNECTION_OK) {
		PQfinish(*conn);
		*conn = NULL;
	}
	return outcome;
}

static double now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1e3 + ts.tv_nsec / 1e6;
}

/*
 * Writes rows 1 to N through the daemons in turn and appends what was said of
 * each to a file: "ID d", "ID n" or "ID u". Prints the longest time without
 * an acknowledged write, which no verdict rests on.
 */
static int cmd_write_log(int argc, char **argv)
{
	FILE *log = fopen(argv[0], "w");
	int rows = atoi(argv[1]), pause_us = atoi(argv[2]);
	int nr = argc - 3;
	PGconn **conn = calloc(nr, sizeof(*conn));
	double last = now_ms(), gap = 0;
	char said;
	int i;

	CHECK(log);
	for (i = 1; i <= rows; i++) {
		said = write_row(&conn[i % nr], argv[3 + i % nr], i);
		fprintf(log, "%d %c\n", i, said);
		fflush(log);
		if (said == 'd') {
			gap = now_ms() - last > gap ? now_ms() - last : gap;
			last = now_ms();
		}
		usleep(pause_us);
	}
	printf("longest time without an acknowledged write %.0f ms\n", gap);
	for (i = 0; i < nr; i++)
		PQfinish(conn[i]);
	free(conn);
	fclose(log);
	return 0;
}

/* Compares that file with the table: nothing lost, nothing that did not run. */
static int cmd_check_log(int argc, char **argv)
{
	FILE *log = fopen(argv[0], "r");
	PGconn *conn = open_conn(argv[1]);
	int done = 0, refused = 0, unknown = 0, lost = 0, ran = 0;
	char sql[128], said;
	PGresult *res;
	int id, rows;

	CHECK(log && conn);
	while (fscanf(log, "%d %c", &id, &said) == 2) {
		snprintf(sql, sizeof(sql),
			 "SELECT id FROM landed WHERE id = %d", id);
		res = PQexec(conn, sql);
		CHECK(result_ok(res));
		rows = PQntuples(res);
		PQclear(res);
		done += said == 'd';
		refused += said == 'n';
		unknown += said == 'u';
		lost += said == 'd' && rows != 1;
		ran += said == 'n' && rows != 0;
	}
	fclose(log);
	PQfinish(conn);
	printf("done %d refused %d unknown %d lost %d refused-but-ran %d\n",
	       done, refused, unknown, lost, ran);
	return lost || ran || !done;
}

/* A request with an identity, sent again through another daemon. */
static int cmd_once(int argc, char **argv)
{
	PGconn *a = open_conn(argv[0]);
	PGconn *b = open_conn(argv[1]);

	CHECK(a && b);
	CHECK(exec_ok(a, "CREATE TABLE IF NOT EXISTS comfreywheel_request "
			 "(id TEXT PRIMARY KEY)"));
	CHECK(exec_ok(a, "CREATE TABLE IF NOT EXISTS once (v INTEGER)"));
	CHECK(exec_ok(a, "SET comfreywheel.request_id = 'booking-17'"));
	CHECK(exec_ok(a, "INSERT INTO once VALUES (1)"));
	CHECK(exec_ok(b, "SET comfreywheel.request_id = 'booking-17'"));
	CHECK(exec_fails(b, "INSERT INTO once VALUES (1)", "23505"));
	CHECK(value_is(b, "SELECT count(*) FROM once", "1"));
	PQfinish(a);
	PQfinish(b);
	return 0;
}

/*
 * A request whose deadline passes while the upstream works on it. Its late
 * answer must reach nobody: every later request gets its own.
 */
static int cmd_late(int argc, char **argv)
{
	PGconn *a = open_conn(argv[0]);
	PGconn *b = open_conn(argv[0]);
	char sql[64], want[16];
	PGresult *res;
	int i;

	CHECK(a && b);
	CHECK(exec_ok(a, "SET comfreywheel.deadline = '300ms'"));
	res = PQexec(a, "SELECT pg_sleep(1)");
	CHECK(!result_ok(res));
	printf("late request: %s %s", sqlstate(res), PQresultErrorMessage(res));
	PQclear(res);
	CHECK(exec_ok(a, "SET comfreywheel.deadline = '5s'"));
	for (i = 0; i < 300; i++) {
		snprintf(sql, sizeof(sql), "SELECT %d + 1000", i);
		snprintf(want, sizeof(want), "%d", i + 1000);
		CHECK(value_is(i & 1 ? a : b, sql, want));
		usleep(5000);
	}
	PQfinish(a);
	PQfinish(b);
	return 0;
}

/* Runs one request with an identity; prints "done" or the SQLSTATE. */
static int cmd_identified(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);
	char *set;
	PGresult *res;

	CHECK(conn);
	set = malloc(strlen(argv[1]) + 64);
	sprintf(set, "SET comfreywheel.request_id = '%s'", argv[1]);
	CHECK(exec_ok(conn, set));
	free(set);
	res = PQexec(conn, argv[2]);
	printf("%s\n", result_ok(res) ? "done" : sqlstate(res));
	PQclear(res);
	PQfinish(conn);
	return 0;
}

/* Keeps a transaction open in which a statement was executed. */
static int cmd_hold(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);

	CHECK(conn && exec_ok(conn, "BEGIN") && exec_ok(conn, argv[1]));
	printf("open\n");
	fflush(stdout);
	sleep(atoi(argv[2]));
	PQfinish(conn);
	return 0;
}

/* Its answer is far larger than any buffer. */
#define LARGE_QUERY                                                         \
	"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "   \
	"WHERE i < 3000000) SELECT i, 'text that fills the buffers of the " \
	"daemon' FROM n"

/* Asks for a large result and reads none of it. */
static int cmd_stall(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);

	CHECK(conn);
	CHECK(PQsendQuery(conn, LARGE_QUERY));
	printf("stalled\n");
	fflush(stdout);
	sleep(atoi(argv[1]));
	PQfinish(conn);
	return 0;
}

/* Reads a result far larger than any buffer, slowly at first. */
static int cmd_large_result(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);
	long rows = atol(argv[1]), seen = 0;
	char sql[256];
	PGresult *res;

	CHECK(conn);
	snprintf(sql, sizeof(sql),
		 "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
		 "FROM n WHERE i < %ld) SELECT i, 'a row of some length to "
		 "fill buffers with text' FROM n",
		 rows);
	CHECK(PQsendQuery(conn, sql));
	CHECK(PQsetSingleRowMode(conn));
	usleep(500000);
	while ((res = PQgetResult(conn))) {
		CHECK(PQresultStatus(res) == PGRES_SINGLE_TUPLE ||
		      PQresultStatus(res) == PGRES_TUPLES_OK);
		seen += PQntuples(res);
		PQclear(res);
	}
	PQfinish(conn);
	printf("rows %ld\n", seen);
	return seen != rows;
}

static int cmd_cancel(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);
	PGcancel *cancel;
	PGresult *res;
	char err[256];

	CHECK(conn);
	cancel = PQgetCancel(conn);
	CHECK(PQsendQuery(conn, argv[1]));
	usleep(200000);
	CHECK(PQcancel(cancel, err, sizeof(err)));
	res = PQgetResult(conn);
	CHECK(!strcmp(sqlstate(res), "57014"));
	PQclear(res);
	CHECK(!PQgetResult(conn));
	/* A cancel after the end must not touch the next request. */
	CHECK(PQcancel(cancel, err, sizeof(err)));
	CHECK(value_is(conn, "SELECT 41 + 1", "42"));
	PQfreeCancel(cancel);
	PQfinish(conn);
	return 0;
}

/* The daemon says goodbye between two requests: libpq takes it as a notice. */
static void on_notice(void *data, const PGresult *res)
{
	if (!strcmp(sqlstate(res), "57P01"))
		*(bool *)data = true;
}

/* Returns the SQLSTATE of the first result, "" for a right answer. */
static const char *first_state(PGconn *conn, char *state)
{
	PGresult *res = PQgetResult(conn);
	bool ok = res && result_ok(res) && PQntuples(res) == 1;

	strcpy(state, ok ? "" : res && *sqlstate(res) ? sqlstate(res) : "none");
	while (res) {
		PQclear(res);
		res = PQgetResult(conn);
	}
	return state;
}

/*
 * Sends requests until the daemon drains. Each gets its whole answer or is
 * told that it did not run, unless the goodbye came first.
 */
static int cmd_drain(int argc, char **argv)
{
	PGconn *conn = open_conn(argv[0]);
	long answered = 0, limit = atol(argv[1]);
	bool goodbye = false;
	char state[8] = "";

	CHECK(conn);
	PQsetNoticeReceiver(conn, on_notice, &goodbye);
	while (answered < limit && !goodbye) {
		if (!PQsendQuery(conn, "SELECT 1"))
			break;
		if (*first_state(conn, state))
			break;
		answered++;
	}
	PQfinish(conn);
	printf("answered %ld, ended by %s\n", answered,
	       goodbye ? "a notice" : state);
	if (goodbye || !strcmp(state, "57P01") || !strcmp(state, "57P03"))
		return answered == 0;
	return answered < limit;
}

/* Opens N connections, each served once, and keeps them for a while. */
static int cmd_idle(int argc, char **argv)
{
	int nr = atoi(argv[1]), seconds = atoi(argv[2]);
	PGconn **conn = calloc(nr, sizeof(*conn));
	int i;

	for (i = 0; i < nr; i++) {
		conn[i] = open_conn(argv[0]);
		CHECK(conn[i] && exec_ok(conn[i], "SELECT 1"));
	}
	printf("open %d\n", nr);
	fflush(stdout);
	sleep(seconds);
	for (i = 0; i < nr; i++)
		PQfinish(conn[i]);
	free(conn);
	return 0;
}

/* Discards what has arrived. */
static void discard_some(PGconn *conn)
{
	char buf[65536];

	recv(PQsocket(conn), buf, sizeof(buf), MSG_DONTWAIT);
}

/*
 * Discards a large answer as fast as it comes and asks "SELECT 1" beside it;
 * prints the longest time that such a question waited.
 */
static int cmd_beside_large(int argc, char **argv)
{
	PGconn *large = open_conn(argv[0]), *other = open_conn(argv[0]);
	double worst_ms = 0, asked_ms, end_ms, limit_ms = atof(argv[1]);
	PGresult *res;

	CHECK(large && other && PQsetnonblocking(large, 1) == 0);
	CHECK(PQsendQuery(large, LARGE_QUERY) && !PQflush(large));
	end_ms = now_ms() + 3000;
	while (now_ms() < end_ms) {
		asked_ms = now_ms();
		CHECK(PQsendQuery(other, "SELECT 1"));
		while (PQisBusy(other)) {
			CHECK(PQconsumeInput(other));
			discard_some(large);
		}
		if (now_ms() - asked_ms > worst_ms)
			worst_ms = now_ms() - asked_ms;
		while ((res = PQgetResult(other)))
			PQclear(res);
	}
	PQfinish(large);
	PQfinish(other);
	printf("longest wait %.0f ms\n", worst_ms);
	return worst_ms > limit_ms;
}

static const struct command {
	const char *name;
	int least_args;
	int (*run)(int argc, char **argv);
} commands[] = {
	{ "free-ports", 1, cmd_free_ports },
	{ "sql", 2, cmd_sql },
	{ "statements", 2, cmd_statements },
	{ "extended", 1, cmd_extended },
	{ "roam", 2, cmd_roam },
	{ "write-log", 4, cmd_write_log },
	{ "check-log", 2, cmd_check_log },
	{ "once", 2, cmd_once },
	{ "late", 1, cmd_late },
	{ "identified", 3, cmd_identified },
	{ "hold", 3, cmd_hold },
	{ "stall", 2, cmd_stall },
	{ "large-result", 2, cmd_large_result },
	{ "cancel", 2, cmd_cancel },
	{ "drain", 2, cmd_drain },
	{ "idle", 3, cmd_idle },
	{ "beside-large", 2, cmd_beside_large },
};

int main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc > 1 && i < sizeof(commands) / sizeof(*commands); i++) {
		if (strcmp(argv[1], commands[i].name))
			continue;
		if (argc - 2 < commands[i].least_args)
			break;
		return commands[i].run(argc - 2, argv + 2);
	}
	fprintf(stderr, "usage: path_client COMMAND ARGUMENTS...\n");
	return 2;
}
