#include "load.h"

void load_result_init(struct load_result *result)
{
	result->latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
	result->errors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	result->failed = 0;
	result->seconds = 0;
}

void load_result_finish(struct load_result *result)
{
	g_array_free(result->latencies_ms, TRUE);
	g_hash_table_destroy(result->errors);
}

void load_result_error(struct load_result *result, const char *sqlstate)
{
	guint count =
		GPOINTER_TO_UINT(g_hash_table_lookup(result->errors, sqlstate));

	result->failed++;
	g_hash_table_insert(result->errors, g_strdup(sqlstate),
			    GUINT_TO_POINTER(count + 1));
}

static gint by_text(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(a, b);
}

void load_result_print(const struct load_result *result, const char *target,
		       FILE *out)
{
	GList *states =
		g_list_sort(g_hash_table_get_keys(result->errors), by_text);
	GList *at;

	fprintf(out,
		"%s: %.0f statements/s, median %.3f ms, p99 %.3f ms, "
		"%u answered, %u failed in %.2f s\n",
		target, result->latencies_ms->len / result->seconds,
		sample_quantile(result->latencies_ms, 0.5),
		sample_quantile(result->latencies_ms, 0.99),
		result->latencies_ms->len, result->failed, result->seconds);
	for (at = states; at; at = at->next)
		fprintf(out, "  %s: %u\n", (const char *)at->data,
			GPOINTER_TO_UINT(
				g_hash_table_lookup(result->errors, at->data)));
	g_list_free(states);
}
