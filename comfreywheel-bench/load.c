#include "load.h"

#include <argtable2.h>
#include <gsl/gsl_randist.h>
#include <stdlib.h>

#define TICK_S 0.001
#define DEFAULT_CONNECTIONS 8
#define DEFAULT_REQUESTS 10000
#define DEFAULT_READS 0.95
#define DEFAULT_TIMEOUT_S 60.0
#define READ_SQL "SELECT 1"
#define WRITE_SQL "INSERT INTO load_probe (value) VALUES (1)"

static const char *next_sql(struct load *load)
{
	return gsl_rng_uniform(load->rng) < load->settings->reads ?
		       load->settings->read_sql :
		       load->settings->write_sql;
}

static void check_end(struct load *load)
{
	if (load->finished >= load->settings->requests)
		ev_break(load->loop, EVBREAK_ALL);
}

void load_statement_ended(struct load_connection *conn, const char *sqlstate)
{
	struct load *load = conn->load;

	load->finished++;
	if (sqlstate)
		load_result_error(load->result, sqlstate);
	else
		sample_add(load->result->latencies_ms,
			   (ev_time() - conn->due) * 1000);
	check_end(load);
}

void load_more(struct load_connection *conn)
{
	struct load *load = conn->load;
	double due = ev_time();

	if (load->settings->rate > 0) {
		if (!load->due->len)
			return;
		due = g_array_index(load->due, double, 0);
		g_array_remove_index(load->due, 0);
	} else if (load->sent >= load->settings->requests) {
		return;
	} else {
		load->sent++;
	}
	load_connection_send(conn, next_sql(load), due);
}

/* Statements become due at random times, whether or not answers came. */
static void make_due(struct load *load, double now)
{
	while (load->sent < load->settings->requests && load->next_due <= now) {
		g_array_append_val(load->due, load->next_due);
		load->sent++;
		load->next_due += gsl_ran_exponential(load->rng,
						      1 / load->settings->rate);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load *load = timer->data;
	struct load_connection *conn;
	unsigned i;

	if (load->settings->rate > 0)
		make_due(load, ev_time());
	for (i = 0; i < load->settings->connections; i++) {
		conn = &load->connections[i];
		if (conn->state == LOAD_CLOSED)
			load_connection_open(conn);
		else if (conn->state == LOAD_IDLE)
			load_more(conn);
	}
}

static void on_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

bool load_run(const struct load_settings *settings, const char *conninfo,
	      struct load_result *result)
{
	struct load load = {
		.settings = settings,
		.conninfo = conninfo,
		.loop = ev_loop_new(EVBACKEND_EPOLL),
		.result = result,
	};
	double started = ev_time();
	unsigned i;

	load.rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(load.rng, settings->seed);
	load.due = g_array_new(FALSE, FALSE, sizeof(double));
	load.next_due = started;
	load.connections =
		g_new0(struct load_connection, settings->connections);
	for (i = 0; i < settings->connections; i++) {
		load.connections[i].load = &load;
		load.connections[i].state = LOAD_CLOSED;
	}
	ev_timer_init(&load.tick, on_tick, 0, TICK_S);
	ev_timer_init(&load.limit, on_limit, settings->timeout_s, 0);
	load.tick.data = &load;
	ev_timer_start(load.loop, &load.tick);
	ev_timer_start(load.loop, &load.limit);
	ev_run(load.loop, 0);
	result->seconds = ev_time() - started;
	for (i = 0; i < settings->connections; i++)
		load_connection_close(&load.connections[i]);
	ev_loop_destroy(load.loop);
	g_free(load.connections);
	g_array_free(load.due, TRUE);
	gsl_rng_free(load.rng);
	return result->latencies_ms->len > 0;
}

static int run_targets(const struct load_settings *settings,
		       const struct arg_str *targets)
{
	struct load_result result;
	int status = EXIT_SUCCESS, i;

	for (i = 0; i < targets->count; i++) {
		load_result_init(&result);
		if (!load_run(settings, targets->sval[i], &result))
			status = EXIT_FAILURE;
		load_result_print(&result, targets->sval[i], stdout);
		load_result_finish(&result);
	}
	return status;
}

int load_main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_int *connections =
		arg_int0("c", "connections", "N", "connections, 8");
	struct arg_int *requests =
		arg_int0("n", "requests", "N", "statements in all, 10000");
	struct arg_dbl *rate =
		arg_dbl0("r", "rate", "PER_SECOND",
			 "statements/s; without it a closed loop");
	struct arg_dbl *reads =
		arg_dbl0(NULL, "reads", "PART", "part that reads, 0.95");
	struct arg_dbl *timeout =
		arg_dbl0(NULL, "timeout", "SECONDS", "limit per target, 60");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "of the mix, 0");
	struct arg_str *read_sql =
		arg_str0(NULL, "read-sql", "SQL", "default: " READ_SQL);
	struct arg_str *write_sql =
		arg_str0(NULL, "write-sql", "SQL", "default: " WRITE_SQL);
	struct arg_str *targets = arg_strn(NULL, NULL, "CONNINFO", 1, 16,
					   "measured one after another");
	struct arg_end *end = arg_end(5);
	void *table[] = { help, connections, requests,	rate,	 reads, timeout,
			  seed, read_sql,    write_sql, targets, end };
	struct load_settings settings;
	int errors, status = EXIT_FAILURE;

	connections->ival[0] = DEFAULT_CONNECTIONS;
	requests->ival[0] = DEFAULT_REQUESTS;
	reads->dval[0] = DEFAULT_READS;
	timeout->dval[0] = DEFAULT_TIMEOUT_S;
	read_sql->sval[0] = READ_SQL;
	write_sql->sval[0] = WRITE_SQL;
	errors = arg_parse(argc, argv, table);
	settings = (struct load_settings){
		.connections = MAX(connections->ival[0], 1),
		.requests = MAX(requests->ival[0], 1),
		.rate = rate->count ? rate->dval[0] : 0,
		.reads = reads->dval[0],
		.timeout_s = timeout->dval[0],
		.seed = seed->count ? seed->ival[0] : 0,
		.read_sql = read_sql->sval[0],
		.write_sql = write_sql->sval[0],
	};
	if (help->count) {
		printf("Usage: comfreywheel-bench load");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		status = EXIT_SUCCESS;
	} else if (errors) {
		arg_print_errors(stderr, end, "comfreywheel-bench load");
	} else {
		status = run_targets(&settings, targets);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
