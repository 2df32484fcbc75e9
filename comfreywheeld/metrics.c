#include "http.h"

#include "upstream_pool.h"

#include <inttypes.h>

static unsigned open_connections(const struct proxy *proxy)
{
	const struct upstream_home *home;
	unsigned nr = 0;
	guint i;

	for (i = 0; i < proxy->homes->len; i++) {
		home = proxy->homes->pdata[i];
		if (home)
			nr += home->open;
	}
	return nr;
}

void metrics_bus(const struct bus_counts *counts, metrics_each_fn each,
		 void *data)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "comfreywheel_bus_sent_total", counts->sent },
		{ "comfreywheel_bus_received_total", counts->received },
		{ "comfreywheel_bus_bytes_sent_total", counts->bytes_sent },
		{ "comfreywheel_bus_bytes_received_total",
		  counts->bytes_received },
		{ "comfreywheel_bus_dropped_total", counts->dropped },
		{ "comfreywheel_bus_malformed_total", counts->malformed },
		{ "comfreywheel_bus_oversized_total", counts->oversized },
		{ "comfreywheel_bus_refused_keys_total", counts->refused_keys },
		{ "comfreywheel_bus_refused_connections_total",
		  counts->refused_connections },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		each(rows[i].name, rows[i].value, data);
}

static void print_bus_counter(const char *name, uint64_t value, void *data)
{
	g_string_append_printf(data,
			       "# TYPE %s counter\n"
			       "%s %" PRIu64 "\n",
			       name, name, value);
}

void metrics_print(struct proxy *proxy, GString *out)
{
	proxy_gauge(proxy, COUNT_UPSTREAM_OPEN, open_connections(proxy));
	counter_set_print(&proxy->counters, out);
	metrics_bus(bus_counts(proxy->bus), print_bus_counter, out);
}
