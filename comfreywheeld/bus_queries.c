#include "bus_queries.h"

#include "drain.h"
#include "http.h"
#include "upstream_pool.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *position_json(struct position pos)
{
	char text[POSITION_TEXT_SIZE];

	return json_string(position_format(pos, text));
}

static json_t *upstream_json(struct proxy *proxy, int handle)
{
	const struct upstream *up =
		directory_upstream_at(&proxy->directory, handle);
	const struct upstream_home *home = (guint)handle < proxy->homes->len ?
						   proxy->homes->pdata[handle] :
						   NULL;

	return json_pack(
		"{s:s, s:s, s:i, s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:o, s:o}",
		"name", up->name, "address", up->address, "port", up->port,
		"availability_zone", up->availability_zone, "says_primary",
		up->says_primary, "reachable", up->reachable, "leaving",
		up->leaving, "connections", home ? (int)home->open : 0, "share",
		home ? (int)home->share : 0, "missed_probes",
		(int)up->missed_probes, "received", position_json(up->received),
		"replayed", position_json(up->replayed));
}

static json_t *cluster_json(struct proxy *proxy, const struct cluster *c)
{
	json_t *upstreams = json_array();
	guint i;

	for (i = 0; i < c->upstreams->len; i++)
		json_array_append_new(
			upstreams,
			upstream_json(proxy,
				      g_array_index(c->upstreams, int, i)));
	return json_pack("{s:s, s:s, s:I, s:b, s:s, s:o}", "service",
			 c->service, "cluster", c->name, "term",
			 (json_int_t)c->term, "fenced", c->fenced, "primary",
			 c->primary_name ? c->primary_name : "", "upstreams",
			 upstreams);
}

static json_t *status(struct proxy *proxy)
{
	const struct tables *tables = control_client_tables(proxy->control);
	json_t *clusters = json_array();
	int64_t now = proxy_now();
	guint i;

	for (i = 0; i < proxy->directory.clusters->len; i++)
		json_array_append_new(
			clusters,
			cluster_json(proxy, directory_cluster_at(
						    &proxy->directory, i)));
	return json_pack("{s:s, s:s, s:I, s:b, s:b, s:b, s:i, s:o}", "daemon",
			 proxy->settings->name, "availability_zone",
			 proxy->settings->availability_zone, "tables_version",
			 (json_int_t)(tables ? tables->version : 0),
			 "may_write",
			 control_client_may_write(proxy->control, now),
			 "may_serve",
			 control_client_may_serve(proxy->control, now),
			 "draining", proxy->draining, "callers",
			 (int)proxy->nr_callers, "clusters", clusters);
}

static void add_bus_counter(const char *name, uint64_t value, void *data)
{
	json_object_set_new(data, name, json_integer((json_int_t)value));
}

static json_t *counters(struct proxy *proxy)
{
	const struct counter *at;
	json_t *json = json_object();
	guint i;

	for (i = 0; i < proxy->counters.counters->len; i++) {
		at = &g_array_index(proxy->counters.counters, struct counter,
				    i);
		json_object_set_new(json, at->name, json_integer(at->value));
	}
	metrics_bus(bus_counts(proxy->bus), add_bus_counter, json);
	return json;
}

static json_t *drain(struct proxy *proxy)
{
	drain_start(proxy);
	return json_pack("{s:b}", "draining", 1);
}

static json_t *tables(struct proxy *proxy)
{
	const struct tables *tables = control_client_tables(proxy->control);
	GString *text;
	json_t *json;

	if (!tables)
		return json_object();
	text = g_string_new(NULL);
	tables_print_json(tables, text);
	json = json_loads(text->str, 0, NULL);
	g_string_free(text, TRUE);
	return json ? json : json_object();
}

static const struct {
	const char *command;
	json_t *(*run)(struct proxy *proxy);
} commands[] = {
	{ "status", status },
	{ "counters", counters },
	{ "drain", drain },
	{ "tables", tables },
};

void bus_query(struct proxy *proxy, const struct bus_return_path *from,
	       const Wire__Query *query)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__QueryReply reply = WIRE__QUERY_REPLY__INIT;
	json_t *json = NULL;
	char *text = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands) && !json; i++)
		if (!strcmp(commands[i].command, query->command))
			json = commands[i].run(proxy);
	if (json) {
		text = json_dumps(json, JSON_COMPACT);
		reply.json = text;
	} else {
		reply.failed = true;
		reply.error = "a daemon answers status, counters, tables and "
			      "drain; ask a control VM for the rest";
	}
	envelope.body_case = WIRE__ENVELOPE__BODY_QUERY_REPLY;
	envelope.query_reply = &reply;
	bus_reply(proxy->bus, from, &envelope);
	free(text);
	json_decref(json);
}
