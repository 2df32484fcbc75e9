#include "bus.h"
#include "ctl.h"
#include "scram.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <glib/gstdio.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#define NR_VMS 3

static const char routes_text[] = "[route all]\n"
				  "service = s\n"
				  "callers = *\n"
				  "tenant = t\n"
				  "pool = p\n";
static const char pools_text[] = "[pool p]\n"
				 "service = s\n"
				 "clusters = c\n"
				 "slots = 2\n"
				 "connections = 4\n"
				 "max_connections = 16\n";

/* How a control VM of the test responds to an ApplyRequest. */
enum response {
	RESPONSE_ACCEPT,
	RESPONSE_ACCEPT_IN_FORCE,
	RESPONSE_CONFLICT,
	RESPONSE_REFUSE,
	RESPONSE_NOT_LEADER,
	RESPONSE_NOT_LEADER_HINT_3,
	RESPONSE_REDIRECT_TO_3,
	RESPONSE_NONE,
};

/**
 * struct vm - simulated control VM
 * @responses: response to each ApplyRequest; the last one repeats
 * @nr_applies: number of ApplyRequests received
 * @queries: all queries received, each with its arguments and a semicolon
 */
struct vm {
	struct bus *bus;
	const enum response *responses;
	size_t nr_responses;
	unsigned nr_applies;
	GString *queries;
};

/* Responses of the third VM, which only VMS3 in a command line contains. */
static const enum response third_vm_responses[] = { RESPONSE_ACCEPT_IN_FORCE };

static struct ev_loop *loop;
static ev_async stop_event;
static pthread_t thread;
static struct vm vms[NR_VMS];
static char addresses[NR_VMS][32];
static GHashTable *request_ids;
static uint64_t last_base_version;
static bool drop_changes;
static bool are_vms_running;
static char *table_files[2];

/* Delay of every zmq_connect(), microseconds. */
static gulong connect_delay_us;

int zmq_connect(void *socket, const char *endpoint)
{
	int (*connect_socket)(void *, const char *);

	*(void **)&connect_socket = dlsym(RTLD_NEXT, "zmq_connect");
	g_usleep(connect_delay_us);
	return connect_socket(socket, endpoint);
}

static void send_verdict(struct vm *vm, const struct bus_return_path *from,
			 const Wire__ApplyRequest *request,
			 enum response response)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__ApplyVerdict verdict = WIRE__APPLY_VERDICT__INIT;
	Wire__Redirect redirect = WIRE__REDIRECT__INIT;

	verdict.request_id = request->request_id;
	verdict.version = 9;
	verdict.in_force = response == RESPONSE_ACCEPT_IN_FORCE;
	verdict.verdict = response == RESPONSE_CONFLICT ?
				  WIRE__APPLY_VERDICT__VERDICT__CONFLICT :
			  response == RESPONSE_REFUSE ?
				  WIRE__APPLY_VERDICT__VERDICT__REFUSED :
			  response == RESPONSE_NOT_LEADER ||
					  response ==
						  RESPONSE_NOT_LEADER_HINT_3 ?
				  WIRE__APPLY_VERDICT__VERDICT__NOT_LEADER :
				  WIRE__APPLY_VERDICT__VERDICT__ACCEPTED;
	verdict.winner = response == RESPONSE_CONFLICT ? "anna" : "";
	verdict.message =
		response == RESPONSE_REFUSE ? "routes:1: wrong; mend it" : "";
	verdict.leader = response == RESPONSE_NOT_LEADER_HINT_3 ? 3 : 0;
	redirect.leader = 3;
	envelope.body_case = WIRE__ENVELOPE__BODY_APPLY_VERDICT;
	envelope.apply_verdict = &verdict;
	if (response == RESPONSE_REDIRECT_TO_3) {
		envelope.body_case = WIRE__ENVELOPE__BODY_REDIRECT;
		envelope.redirect = &redirect;
	}
	bus_reply(vm->bus, from, &envelope);
}

static void reply_to_query(struct vm *vm, const struct bus_return_path *from,
			   const Wire__Query *query)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QueryReply reply = WIRE__QUERY_REPLY__INIT;
	GString *json = g_string_new(NULL);
	struct tables tables;
	size_t i;

	g_string_append_printf(vm->queries, "%s", query->command);
	for (i = 0; i < query->n_arguments; i++)
		g_string_append_printf(vm->queries, " %s", query->arguments[i]);
	g_string_append_c(vm->queries, ';');
	if (!strcmp(query->command, "tables")) {
		tables_init(&tables);
		tables_parse(&tables, "r", routes_text, "p", pools_text, NULL);
		tables.version = 7;
		tables_print_json(&tables, json);
		tables_finish(&tables);
	} else if (!strcmp(query->command, "audit")) {
		reply.failed = true;
		reply.error = "no trail; ask later";
	} else {
		g_string_append(json,
				"{\"leader\":1,\"members\":["
				"{\"daemon\":\"gl-west-1\",\"zone\":\"\","
				"\"live\":true},"
				"{\"daemon\":\"b\",\"zone\":\"z\xc3\xbc\"}]}");
	}
	reply.json = json->str;
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY_REPLY;
	envelope.query_reply = &reply;
	bus_reply(vm->bus, from, &envelope);
	g_string_free(json, TRUE);
}

static void on_request(const struct bus_return_path *from,
		       const Wire__Envelope *envelope, void *data)
{
	struct vm *vm = data;
	const Wire__ApplyRequest *request = envelope->apply_request;
	enum response response;

	if (envelope->body_case == WIRE__ENVELOPE__BODY_QUERY) {
		if (drop_changes && strcmp(envelope->query->command, "status"))
			return;
		reply_to_query(vm, from, envelope->query);
		return;
	}
	ck_assert_int_eq(envelope->body_case,
			 WIRE__ENVELOPE__BODY_APPLY_REQUEST);
	g_hash_table_add(request_ids, g_strdup(request->request_id));
	last_base_version = request->base_version;
	ck_assert_str_eq(request->routes, routes_text);
	response = vm->responses[MIN(vm->nr_applies, vm->nr_responses - 1)];
	vm->nr_applies++;
	if (response != RESPONSE_NONE)
		send_verdict(vm, from, request, response);
}

static void on_stop(struct ev_loop *running_loop, ev_async *async, int events)
{
	ev_break(running_loop, EVBREAK_ALL);
}

static void *run_loop(void *data)
{
	ev_run(loop, 0);
	return NULL;
}

static void pick_unused_address(char *text, size_t size)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	close(fd);
	g_snprintf(text, size, "127.0.0.1:%u", ntohs(addr.sin_port));
}

static void start_vms(const enum response *first, size_t nr_first,
		      const enum response *second, size_t nr_second,
		      const char *public_key, const char *secret_key)
{
	static const struct bus_events events = { .request = on_request };
	GError *error = NULL;
	size_t i;

	loop = ev_loop_new(EVFLAG_AUTO);
	request_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < NR_VMS; i++) {
		pick_unused_address(addresses[i], sizeof(addresses[i]));
		vms[i].responses = i == 0 ? first :
				   i == 1 ? second :
					    third_vm_responses;
		vms[i].nr_responses = i == 0 ? nr_first :
				      i == 1 ? nr_second :
					       1;
		vms[i].nr_applies = 0;
		vms[i].queries = g_string_new(NULL);
		vms[i].bus = bus_new(loop, addresses[i], public_key, secret_key,
				     &events, &vms[i], &error);
		ck_assert_msg(vms[i].bus != NULL, "%s",
			      error ? error->message : "");
	}
	ev_async_init(&stop_event, on_stop);
	ev_async_start(loop, &stop_event);
	ck_assert_int_eq(pthread_create(&thread, NULL, run_loop, NULL), 0);
	are_vms_running = true;
}

static void stop_vms(void)
{
	size_t i;

	are_vms_running = false;
	ev_async_send(loop, &stop_event);
	pthread_join(thread, NULL);
	for (i = 0; i < NR_VMS; i++) {
		bus_free(vms[i].bus);
		g_string_free(vms[i].queries, TRUE);
	}
	ev_loop_destroy(loop);
	g_hash_table_destroy(request_ids);
}

/* After a failed assertion the next test must not find VMs that drop
 * changes. */
static void clean_up(void)
{
	drop_changes = false;
	connect_delay_us = 0;
	if (are_vms_running)
		stop_vms();
}

static void write_table_files(void)
{
	const char *texts[] = { routes_text, pools_text };
	size_t i;

	for (i = 0; i < 2; i++) {
		if (!table_files[i])
			table_files[i] = g_strdup_printf("%s/cw-ctl-%d-%zu",
							 g_get_tmp_dir(),
							 (int)getpid(), i);
		ck_assert(g_file_set_contents(table_files[i], texts[i], -1,
					      NULL));
	}
}

/* Replaces the words ROUTES, POOLS, VMS, VMS3 and DAEMON in @line. */
static int run_command_line(const char *line, const char *input, char **out,
			    char **err)
{
	struct ctl_streams streams;
	char **words = g_strsplit(line, " ", -1);
	char *vm_list =
		g_strdup_printf("1@%s,2@%s", addresses[0], addresses[1]);
	char *vm_list_of_three =
		g_strdup_printf("%s,3@%s", vm_list, addresses[2]);
	const char *values[] = { table_files[0], table_files[1], vm_list,
				 vm_list_of_three, addresses[1] };
	const char *const placeholders[] = { "ROUTES", "POOLS", "VMS", "VMS3",
					     "DAEMON" };
	size_t i, k, sizes[2];
	int code;

	for (i = 0; words[i]; i++)
		for (k = 0; k < G_N_ELEMENTS(placeholders); k++)
			if (!strcmp(words[i], placeholders[k])) {
				g_free(words[i]);
				words[i] = g_strdup(values[k]);
			}
	streams.in = fmemopen((char *)input, strlen(input), "r");
	streams.out = open_memstream(out, &sizes[0]);
	streams.err = open_memstream(err, &sizes[1]);
	code = ctl_main(i, words, &streams);
	fclose(streams.in);
	fclose(streams.out);
	fclose(streams.err);
	g_strfreev(words);
	g_free(vm_list);
	g_free(vm_list_of_three);
	return code;
}

static const enum response accept_in_force[] = { RESPONSE_ACCEPT_IN_FORCE };
static const enum response in_force_late[] = { RESPONSE_ACCEPT, RESPONSE_ACCEPT,
					       RESPONSE_ACCEPT_IN_FORCE };
static const enum response accept_only[] = { RESPONSE_ACCEPT };
static const enum response drop_first[] = { RESPONSE_NONE,
					    RESPONSE_ACCEPT_IN_FORCE };
static const enum response conflict[] = { RESPONSE_CONFLICT };
static const enum response refuse[] = { RESPONSE_REFUSE };
static const enum response not_leader[] = { RESPONSE_NOT_LEADER };
static const enum response not_leader_hint_3[] = { RESPONSE_NOT_LEADER_HINT_3 };
static const enum response redirect[] = { RESPONSE_REDIRECT_TO_3 };
static const enum response no_response[] = { RESPONSE_NONE };

#define RESPONSES(name) name, G_N_ELEMENTS(name)

/**
 * struct apply_case - expected outcome of one apply command
 * @first: responses of the first control VM
 * @second: responses of the second control VM
 * @expected_text: text that the output must contain
 * @expected_remedy: another text that the output must contain
 * @nr_applies: minimum number of ApplyRequests that each VM receives
 * @expected_base: base version in the last ApplyRequest
 */
static const struct apply_case {
	const enum response *first;
	size_t nr_first;
	const enum response *second;
	size_t nr_second;
	const char *line;
	enum ctl_exit code;
	const char *expected_text;
	const char *expected_remedy;
	unsigned nr_applies[NR_VMS];
	uint64_t expected_base;
} apply_cases[] = {
	{ RESPONSES(accept_in_force),
	  RESPONSES(no_response),
	  "ctl apply --control VMS ROUTES POOLS",
	  CTL_OK,
	  "version 9 is accepted and in force everywhere",
	  "",
	  { 1, 0 },
	  7 },
	{ RESPONSES(in_force_late),
	  RESPONSES(in_force_late),
	  "ctl apply --control VMS --base-version 5 ROUTES POOLS",
	  CTL_OK,
	  "version 9 is accepted and in force everywhere",
	  "",
	  { 2, 1 },
	  5 },
	{ RESPONSES(accept_only),
	  RESPONSES(accept_only),
	  "ctl apply --control VMS --timeout 1s ROUTES POOLS",
	  CTL_OK,
	  "not yet in force",
	  "status",
	  { 1, 1 },
	  7 },
	{ RESPONSES(drop_first),
	  RESPONSES(drop_first),
	  "ctl apply --control VMS --timeout 4s ROUTES POOLS",
	  CTL_OK,
	  "accepted and in force everywhere",
	  "",
	  { 2, 1 },
	  7 },
	{ RESPONSES(conflict),
	  RESPONSES(conflict),
	  "ctl apply --control VMS --base-version 5 ROUTES POOLS",
	  CTL_CONFLICT,
	  "version 9 by anna conflicts with this change to version 5",
	  "apply again with --base-version 9",
	  { 1, 0 },
	  5 },
	{ RESPONSES(conflict),
	  RESPONSES(conflict),
	  "ctl apply --json --control VMS ROUTES POOLS",
	  CTL_CONFLICT,
	  "\"winner\": \"anna\"",
	  "\"version\": 9",
	  { 1, 0 },
	  7 },
	{ RESPONSES(refuse),
	  RESPONSES(refuse),
	  "ctl apply --control VMS ROUTES POOLS",
	  CTL_REFUSED,
	  "routes:1: wrong",
	  "mend it",
	  { 1, 0 },
	  7 },
	{ RESPONSES(not_leader),
	  RESPONSES(accept_in_force),
	  "ctl apply --control VMS ROUTES POOLS",
	  CTL_OK,
	  "accepted",
	  "",
	  { 1, 1 },
	  7 },
	{ RESPONSES(not_leader_hint_3),
	  RESPONSES(conflict),
	  "ctl apply --control VMS3 ROUTES POOLS",
	  CTL_OK,
	  "accepted",
	  "",
	  { 1, 0, 1 },
	  7 },
	{ RESPONSES(redirect),
	  RESPONSES(conflict),
	  "ctl apply --control VMS3 --request-id again-1 ROUTES POOLS",
	  CTL_OK,
	  "accepted",
	  "",
	  { 1, 0, 1 },
	  7 },
	{ RESPONSES(not_leader),
	  RESPONSES(not_leader),
	  "ctl apply --control VMS --timeout 1s ROUTES POOLS",
	  CTL_UNAVAILABLE,
	  "nothing was changed",
	  "apply again",
	  { 2, 2 },
	  7 },
	{ RESPONSES(no_response),
	  RESPONSES(no_response),
	  "ctl apply --control VMS --timeout 1s --request-id again-1 ROUTES "
	  "POOLS",
	  CTL_UNKNOWN,
	  "may or may not be accepted",
	  "--request-id again-1 --base-version 7",
	  { 1, 1 },
	  7 },
};

/*
 * Guards against a change that is applied twice, lost without an error or
 * reported with the wrong verdict.
 */
START_TEST(test_apply)
{
	const struct apply_case *s;
	char *out, *err, *both;
	size_t i;
	int code;

	write_table_files();
	for (i = 0; i < G_N_ELEMENTS(apply_cases); i++) {
		s = &apply_cases[i];
		start_vms(s->first, s->nr_first, s->second, s->nr_second, NULL,
			  NULL);
		code = run_command_line(s->line, "", &out, &err);
		both = g_strconcat(out, err, NULL);
		ck_assert_msg(code == (int)s->code, "%zu: exit %d: %s", i, code,
			      both);
		ck_assert_msg(strstr(both, s->expected_text) &&
				      strstr(both, s->expected_remedy),
			      "%zu: %s", i, both);
		ck_assert_uint_ge(vms[0].nr_applies, s->nr_applies[0]);
		ck_assert_uint_ge(vms[1].nr_applies, s->nr_applies[1]);
		ck_assert_uint_ge(vms[2].nr_applies, s->nr_applies[2]);
		ck_assert_uint_eq(g_hash_table_size(request_ids), 1);
		ck_assert_uint_eq(last_base_version, s->expected_base);
		if (strstr(s->line, "again-1"))
			ck_assert(
				g_hash_table_contains(request_ids, "again-1"));
		stop_vms();
		g_free(both);
		free(out);
		free(err);
	}
}
END_TEST

/* Guards against an attempt without time for a reply because the tool took
 * longer than its timeout to connect. */
START_TEST(test_slow_connect)
{
	char *out, *err;
	int code;

	write_table_files();
	start_vms(RESPONSES(accept_in_force), RESPONSES(no_response), NULL,
		  NULL);
	connect_delay_us = 1100000;
	code = run_command_line("ctl apply --control VMS --timeout 8s ROUTES "
				"POOLS",
				"", &out, &err);
	connect_delay_us = 0;
	ck_assert_msg(code == CTL_OK, "exit %d: %s%s", code, out, err);
	stop_vms();
	free(out);
	free(err);
}
END_TEST

/*
 * Guards against invalid files that are sent to the control VMs, and against a
 * wrong exit code or message when no control VM is reachable.
 */
START_TEST(test_local_refusals)
{
	char *out, *err, *wrong;

	write_table_files();
	start_vms(RESPONSES(accept_in_force), RESPONSES(accept_in_force), NULL,
		  NULL);
	wrong = g_strconcat(routes_text, "weight = 0\n", NULL);
	ck_assert(g_file_set_contents(table_files[0], wrong, -1, NULL));
	ck_assert_int_eq(
		run_command_line("ctl apply --control VMS ROUTES POOLS", "",
				 &out, &err),
		CTL_REFUSED);
	ck_assert_ptr_nonnull(strstr(err, ":6: \"0\" cannot be the value"));
	ck_assert_uint_eq(vms[0].nr_applies, 0);
	ck_assert_uint_eq(vms[0].queries->len, 0);
	free(out);
	free(err);
	ck_assert_int_eq(run_command_line("ctl check --json ROUTES POOLS", "",
					  &out, &err),
			 CTL_REFUSED);
	ck_assert_ptr_nonnull(strstr(out, "\"exit_code\": 1"));
	free(out);
	free(err);
	g_free(wrong);
	write_table_files();
	ck_assert_int_eq(run_command_line("ctl check ROUTES POOLS", "", &out,
					  &err),
			 CTL_OK);
	ck_assert_str_eq(out, "1 routes and 1 pools are valid\n");
	free(out);
	free(err);
	stop_vms();
	ck_assert_int_eq(
		run_command_line("ctl apply --control VMS --timeout 400ms "
				 "ROUTES POOLS",
				 "", &out, &err),
		CTL_UNAVAILABLE);
	ck_assert_ptr_nonnull(strstr(err, "no control VM answers; check"));
	free(out);
	free(err);
}
END_TEST

static const struct command_case {
	const char *line;
	enum ctl_exit code;
	const char *expected_text;
} command_cases[] = {
	{ "ctl", CTL_USAGE, "usage: comfreywheelctl COMMAND" },
	{ "ctl nonsense", CTL_USAGE, "usage: comfreywheelctl COMMAND" },
	{ "ctl --help", CTL_OK, "apply" },
	{ "ctl --version", CTL_OK, "comfreywheelctl 0." },
	{ "ctl apply --help", CTL_OK, "--base-version" },
	{ "ctl apply", CTL_USAGE, "see comfreywheelctl apply --help" },
	{ "ctl apply --nonsense", CTL_USAGE, "see comfreywheelctl apply" },
	{ "ctl apply ROUTES POOLS", CTL_USAGE, "give --control or --settings" },
	{ "ctl apply --control localhost ROUTES POOLS", CTL_USAGE,
	  "give IP:PORT or ID@IP:PORT" },
	{ "ctl apply --control VMS --base-version x ROUTES POOLS", CTL_USAGE,
	  "give a whole number" },
	{ "ctl status --control VMS --timeout 4", CTL_USAGE,
	  "give one with its unit" },
	{ "ctl status --control VMS --public-key-file x", CTL_USAGE,
	  "give both" },
	{ "ctl drain", CTL_USAGE, "give --daemon" },
	{ "ctl counters", CTL_USAGE, "give --daemon" },
	{ "ctl member --control VMS evict x", CTL_USAGE, "use list, add" },
	{ "ctl member --control VMS add 3", CTL_USAGE, "ID IP:PORT" },
	{ "ctl member --control VMS add x 127.0.0.1:1", CTL_USAGE,
	  "\"x\" is not valid" },
	{ "ctl user", CTL_USAGE, "see comfreywheelctl user --help" },
	{ "ctl status --control VMS", CTL_OK,
	  "leader: 1\nmembers:\n"
	  "  daemon     zone  live\n"
	  "  gl-west-1  -     true\n"
	  "  b          z\xc3\xbc    -\n" },
	{ "ctl status --json --control VMS", CTL_OK, "\"leader\": 1" },
	{ "ctl audit --control VMS", CTL_REFUSED, "no trail; ask later" },
	{ "ctl counters --daemon DAEMON", CTL_OK, "leader" },
	{ "ctl drain --daemon DAEMON", CTL_OK, "leader" },
	{ "ctl member --control VMS list", CTL_OK, "gl-west-1" },
	{ "ctl member --control VMS add 3 127.0.0.1:7003", CTL_OK, "leader" },
	{ "ctl member --control VMS remove gl-west-1", CTL_OK, "leader" },
	{ "ctl show --control VMS", CTL_OK,
	  "# version 7\n# routes\n[route all]\nservice = s\n" },
	{ "ctl show --json --daemon DAEMON", CTL_OK, "\"version\": 7" },
	{ "ctl diff --control VMS ROUTES POOLS", CTL_OK, "no difference\n" },
	{ "ctl keygen --public-key-file x", CTL_USAGE, "give both" },
};

/*
 * Guards against a command that is missing from the dispatch table, and against
 * wrong exit codes, output and queries.
 */
START_TEST(test_commands)
{
	char *out, *err, *both;
	size_t i;
	int code;

	write_table_files();
	start_vms(RESPONSES(no_response), RESPONSES(no_response), NULL, NULL);
	for (i = 0; i < G_N_ELEMENTS(command_cases); i++) {
		code = run_command_line(command_cases[i].line, "", &out, &err);
		both = g_strconcat(out, err, NULL);
		ck_assert_msg(code == (int)command_cases[i].code,
			      "%s: exit %d: %s", command_cases[i].line, code,
			      both);
		ck_assert_msg(strstr(both, command_cases[i].expected_text) !=
				      NULL,
			      "%s: %s", command_cases[i].line, both);
		g_free(both);
		free(out);
		free(err);
	}
	ck_assert_str_eq(vms[1].queries->str, "counters;status;drain;tables;");
	ck_assert_ptr_nonnull(strstr(vms[0].queries->str,
				     "members;"
				     "status;member-add 3 127.0.0.1:7003;"
				     "status;member-remove gl-west-1;"));
	stop_vms();
}
END_TEST

/*
 * Guards against a change that is reported as not made when only its reply was
 * lost.
 */
START_TEST(test_lost_answers)
{
	static const char *const lines[] = {
		"ctl drain --daemon DAEMON --timeout 800ms",
		"ctl member --control VMS --timeout 800ms promote 2",
	};
	char *out, *err;
	size_t i;

	start_vms(RESPONSES(no_response), RESPONSES(no_response), NULL, NULL);
	drop_changes = true;
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		ck_assert_int_eq(run_command_line(lines[i], "", &out, &err),
				 CTL_UNKNOWN);
		ck_assert_ptr_nonnull(strstr(err, "may or may not"));
		free(out);
		free(err);
	}
	drop_changes = false;
	stop_vms();
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		ck_assert_int_eq(run_command_line(lines[i], "", &out, &err),
				 CTL_UNAVAILABLE);
		free(out);
		free(err);
	}
}
END_TEST

/* Guards against a diff that omits a change between the files and the
 * tables. */
START_TEST(test_diff)
{
	char *edited = g_strconcat(routes_text, "weight = 3\n", NULL);
	char *out, *err;

	write_table_files();
	ck_assert(g_file_set_contents(table_files[0], edited, -1, NULL));
	start_vms(RESPONSES(no_response), RESPONSES(no_response), NULL, NULL);
	ck_assert_int_eq(run_command_line("ctl diff --control VMS ROUTES POOLS",
					  "", &out, &err),
			 CTL_OK);
	ck_assert_str_eq(out, "route all: weight = 1 -> 3\n");
	free(out);
	free(err);
	ck_assert_int_eq(
		run_command_line("ctl diff --json --control VMS ROUTES POOLS",
				 "", &out, &err),
		CTL_OK);
	ck_assert_ptr_nonnull(strstr(out, "\"route all: weight = 1 -> 3\""));
	free(out);
	free(err);
	stop_vms();
	g_free(edited);
}
END_TEST

/* Guards against verifier lines and keys that the daemon cannot use. */
START_TEST(test_user_and_keygen)
{
	char *out, *err, *again, *text, *line;
	char *key_files[2];
	struct scram_verifier v;

	ck_assert_int_eq(run_command_line("ctl user anna", "pencil\n", &out,
					  &err),
			 CTL_OK);
	ck_assert(g_str_has_prefix(out, "anna:SCRAM-SHA-256$4096:"));
	ck_assert(scram_verifier_parse(g_strchomp(out) + 5, &v));
	again = scram_verifier_make("pencil", v.salt, v.salt_len, v.iterations);
	ck_assert_str_eq(again, out + 5);
	g_free(again);
	free(out);
	free(err);
	ck_assert_int_eq(run_command_line("ctl user anna", "\n", &out, &err),
			 CTL_REFUSED);
	free(out);
	free(err);
	ck_assert_int_eq(run_command_line("ctl user a:b", "x\n", &out, &err),
			 CTL_REFUSED);
	free(out);
	free(err);
	key_files[0] = g_strconcat(table_files[0], ".public", NULL);
	key_files[1] = g_strconcat(table_files[0], ".secret", NULL);
	line = g_strdup_printf("ctl keygen --public-key-file %s "
			       "--secret-key-file %s",
			       key_files[0], key_files[1]);
	ck_assert_int_eq(run_command_line(line, "", &out, &err), CTL_OK);
	free(out);
	free(err);
	ck_assert_int_eq(run_command_line(line, "", &out, &err), CTL_REFUSED);
	ck_assert_ptr_nonnull(strstr(err, "name a new file"));
	free(out);
	free(err);
	g_free(line);
	ck_assert(g_file_get_contents(key_files[0], &out, NULL, NULL));
	ck_assert(g_file_get_contents(key_files[1], &text, NULL, NULL));
	start_vms(RESPONSES(no_response), RESPONSES(no_response),
		  g_strchomp(out), g_strchomp(text));
	g_free(out);
	g_free(text);
	line = g_strdup_printf("ctl status --control VMS --public-key-file %s "
			       "--secret-key-file %s",
			       key_files[0], key_files[1]);
	ck_assert_int_eq(run_command_line(line, "", &out, &err), CTL_OK);
	free(out);
	free(err);
	ck_assert_int_eq(
		run_command_line("ctl status --control VMS --timeout 400ms", "",
				 &out, &err),
		CTL_UNAVAILABLE);
	free(out);
	free(err);
	stop_vms();
	g_free(line);
	g_unlink(key_files[0]);
	g_unlink(key_files[1]);
	g_free(key_files[0]);
	g_free(key_files[1]);
	g_unlink(table_files[0]);
	g_unlink(table_files[1]);
}
END_TEST

TEST_MAIN_WITH_FIXTURE("ctl", NULL, clean_up, test_apply, test_slow_connect,
		       test_local_refusals, test_commands, test_lost_answers,
		       test_diff, test_user_and_keygen)
