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

static void print_bus(const struct bus_counts *counts, GString *out)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "sent", counts->sent },
		{ "received", counts->received },
		{ "bytes_sent", counts->bytes_sent },
		{ "bytes_received", counts->bytes_received },
		{ "dropped", counts->dropped },
		{ "malformed", counts->malformed },
		{ "oversized", counts->oversized },
		{ "refused_keys", counts->refused_keys },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(
			out,
			"# TYPE comfreywheel_bus_%s_total counter\n"
			"comfreywheel_bus_%s_total %" PRIu64 "\n",
			rows[i].name, rows[i].name, rows[i].value);
}

void metrics_print(struct proxy *proxy, GString *out)
{
	proxy_gauge(proxy, COUNT_UPSTREAM_OPEN, open_connections(proxy));
	counter_set_print(&proxy->counters, out);
	print_bus(bus_counts(proxy->bus), out);
}
