#include "clock.h"
#include "log.h"
#include "net.h"
#include "standin.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#define PROGRAM "comfreywheel-standin"

int64_t standin_now(struct standin *s)
{
	return clock_now_us();
}

/* No handler holds a closed client between two waits of the loop. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct standin *s = w->data;

	g_ptr_array_set_size(s->closed_clients, 0);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct standin *s = w->data;
	int fd;

	for (;;) {
		fd = net_accept(w->fd);
		if (fd < 0)
			return;
		if (s->faults[FAULT_REFUSE]) {
			close(fd);
			continue;
		}
		client_accept(s, fd);
	}
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static bool standin_run(struct standin *s, GError **error)
{
	ev_signal term, intr;
	int fd;

	s->loop = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
	timer_service_init(&s->timers);
	s->clients = g_ptr_array_new();
	s->closed_clients = g_ptr_array_new_with_free_func(g_free);
	s->waiting = g_queue_new();
	s->next_pid = 1;
	s->faults[FAULT_LAG] = s->options.lag_ms;
	if (!replication_open(s, error))
		return false;
	fd = net_listen(s->options.listen, error);
	if (fd < 0)
		return false;
	ev_io_init(&s->listener, on_accept, fd, EV_READ);
	s->listener.data = s;
	ev_io_start(s->loop, &s->listener);
	event_timers_init(&s->event_timers, s->loop, &s->timers);
	ev_prepare_init(&s->prepare, on_prepare);
	s->prepare.data = s;
	ev_prepare_start(s->loop, &s->prepare);
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(s->loop, &term);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(s->loop, &intr);
	signal(SIGPIPE, SIG_IGN);
	s->announcer = announcer_new(s);
	replication_follow(s);
	log_info("%s serves on %s:%d as %s, term %u", s->options.name,
		 s->options.address, s->options.port,
		 s->in_recovery ? "replica" : "primary", s->term);
	ev_run(s->loop, 0);
	announcer_free(s->announcer);
	while (s->clients->len)
		client_close(g_ptr_array_index(s->clients, 0));
	g_ptr_array_free(s->closed_clients, TRUE);
	g_ptr_array_free(s->clients, TRUE);
	replication_finish(s);
	event_timers_finish(&s->event_timers);
	timer_service_finish(&s->timers);
	close(fd);
	ev_loop_destroy(s->loop);
	return true;
}

static const char *text_or(const struct arg_str *arg, const char *value)
{
	return arg->count ? arg->sval[0] : value;
}

static int number_or(const struct arg_int *arg, int value)
{
	return arg->count ? arg->ival[0] : value;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, "name", "NAME", "unique name");
	struct arg_str *addr = arg_str1(NULL, "listen", "IP:PORT", "address");
	struct arg_str *zone = arg_str0(NULL, "availability-zone", "ZONE",
					"announced availability zone");
	struct arg_str *service =
		arg_str0(NULL, "service", "NAME", "announced service");
	struct arg_str *cluster =
		arg_str0(NULL, "cluster", "NAME", "announced cluster");
	struct arg_str *database =
		arg_str0(NULL, "database", "NAME", "announced database");
	struct arg_str *data = arg_str1(NULL, "data-folder", "DIR",
					"existing folder for the database");
	struct arg_str *follow = arg_str0(NULL, "follow", "IP:PORT",
					  "start as a replica of this primary");
	struct arg_str *announce =
		arg_str0(NULL, "announce", "IP:PORT[,...]",
			 "admin addresses of daemons to announce to");
	struct arg_int *interval = arg_int0(NULL, "announce-ms", "MS",
					    "time between announcements");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "statements executed at once");
	struct arg_int *service_us = arg_int0(NULL, "service-us", "US",
					      "time a statement holds a slot");
	struct arg_int *max =
		arg_int0(NULL, "max-connections", "N", "connections accepted");
	struct arg_int *lag =
		arg_int0(NULL, "lag-ms", "MS", "replay delay of a replica");
	struct arg_end *end = arg_end(8);
	void *table[] = { help,	      name, addr,   zone,     service,	cluster,
			  database,   data, follow, announce, interval, slots,
			  service_us, max,  lag,    end };
	struct standin s = { 0 };
	GError *error = NULL;
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: " PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return 0;
	}
	if (errors || !net_parse_address(addr->sval[0], s.options.address,
					 &s.options.port)) {
		arg_print_errors(stderr, end, PROGRAM);
		fprintf(stderr, "Try '" PROGRAM " --help'.\n");
		return 2;
	}
	log_init(PROGRAM, LOG_LEVEL_INFO);
	s.options.listen = addr->sval[0];
	s.options.name = name->sval[0];
	s.options.availability_zone = text_or(zone, "zone");
	s.options.service = text_or(service, "service");
	s.options.cluster = text_or(cluster, "cluster");
	s.options.database = text_or(database, "main");
	s.options.data_folder = data->sval[0];
	s.options.follow = text_or(follow, NULL);
	s.options.announce_to = text_or(announce, NULL);
	s.options.announce_ms = number_or(interval, 5000);
	s.options.slots = number_or(slots, 2);
	s.options.service_us = number_or(service_us, 0);
	s.options.max_connections = number_or(max, 100);
	s.options.lag_ms = number_or(lag, 0);
	if (!standin_run(&s, &error)) {
		log_error("%s", error->message);
		return 1;
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return 0;
}
