#include "crowd.h"

#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	void (*run)(struct crowd *crowd);
} loads[] = {
	{ "large_lines", load_large_lines },
	{ "small_pieces", load_small_pieces },
	{ "long_lines", load_long_lines },
	{ "pipelined", load_pipelined },
	{ "half_start", load_half_start },
	{ "many_callers", load_many_callers },
	{ "half_transactions", load_half_transactions },
	{ "churn", load_churn },
	{ "large_answers", load_large_answers },
	{ "unread_answers", load_unread_answers },
	{ "values", load_values },
	{ "names", load_names },
	{ "prepared", load_prepared },
	{ "alone", load_alone },
	{ "relay_halves", load_relay_halves },
	{ "relay_lengths", load_relay_lengths },
	{ "relay_services", load_relay_services },
	{ "relay_sessions", load_relay_sessions },
	{ "http_halves", load_http_halves },
};

/* Guards against an entry daemon that ends, exceeds its memory or its
 * descriptors, or no longer serves ordinary callers under the load named by the
 * first argument. */
int main(int argc, char **argv)
{
	static struct crowd crowd;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++)
		if (argc == 3 && !strcmp(argv[1], loads[i].name))
			break;
	if (i == G_N_ELEMENTS(loads)) {
		fprintf(stderr, "usage: %s LOAD PROGRAM\n", argv[0]);
		return 2;
	}
	crowd_start(&crowd, argv[2]);
	loads[i].run(&crowd);
	crowd_check(&crowd);
	crowd_close(&crowd);
	crowd_check_released(&crowd);
	hostile_stop(&crowd.process);
	return 0;
}
