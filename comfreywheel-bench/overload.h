#ifndef OVERLOAD_H
#define OVERLOAD_H

#include "station.h"

/**
 * DOC: Callers that retry, eight daemons and one database.
 */

/**
 * struct overload_run - one run
 * @load: arrivals as a multiple of capacity, up to @switch_us
 * @load_after: from then on
 */
struct overload_run {
	enum admission_order order;
	bool naive;
	unsigned seed;
	double load;
	double load_after;
	int64_t switch_us;
	int64_t duration_us;
	/* Results; latencies in ms, good answers per 100 ms of the run. */
	uint64_t offered;
	uint64_t good;
	GArray *latencies;
	unsigned good_by_time[512];
	unsigned ended_by_time[512];
};

void overload_run(struct overload_run *run);
double overload_goodput(const struct overload_run *run);

#define OVERLOAD_SCHEDULES 4
const char *overload_name(unsigned schedule);
/** overload_mean() - mean goodput of one schedule over @seeds runs */
double overload_mean(unsigned schedule, double load, unsigned seeds,
		     double *p99_ms);

#endif
