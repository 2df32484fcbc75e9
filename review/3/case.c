/*
 * A service that has sync_replicas 1. One replica receives all commits and
 * applies them late, the other one receives nothing for a while, and the
 * primary crashes meanwhile. Every commit that was acknowledged is in the log
 * of the first replica.
 */
#include "lab.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CORES 5
#define FRONTS 3
#define LOSSES 2
#define WRITERS 4
/* replica_lag x = 60: it applies 60 times as late. */
#define LAG_MS (60 * SITE_LAG_MS)
#define MAX_VALUES 20000

static const struct lab_route routes[] = {
	{ "bookings", "primary", 800, 100, 0 },
	{ "lookups", "bounded_staleness", 1200, 300, 1500 },
};

static struct lab_process *fronts[FRONTS];
static char acknowledged[MAX_VALUES][40];
static int nr_acknowledged;
static bool ending;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Writes at one database name of one front, or reads at the other. */
static void *client(void *data)
{
	int number = (int)(intptr_t)data, n = 0;
	bool writes = number < WRITERS;
	struct lab_session s = { .fd = -1 };

	while (!ending) {
		struct lab_answer a;
		char id[32], text[100], value[40], code[24];

		if (s.fd < 0 &&
		    (!lab_connect(&s, fronts[number % FRONTS]->ip) ||
		     !lab_begin(&s, writes ? "bookings" : "lookups", code))) {
			lab_close(&s);
			lab_sleep_ms(50);
			continue;
		}
		snprintf(id, sizeof(id), "c%dn%d", number, ++n);
		snprintf(value, sizeof(value), "v%d.%d", number, n);
		if (writes)
			snprintf(text, sizeof(text), "WRITE item%d %s", number,
				 value);
		else
			snprintf(text, sizeof(text), "READ item%d",
				 number % WRITERS);
		lab_query(&s, id, text, 3000, &a);
		if (writes)
			lab_record("%s %s -> %s", id, text,
				   a.whole && a.done ? "DONE" : a.code);
		if (writes && a.whole && a.done) {
			pthread_mutex_lock(&lock);
			if (nr_acknowledged < MAX_VALUES)
				strcpy(acknowledged[nr_acknowledged++], value);
			pthread_mutex_unlock(&lock);
		}
		if (!a.whole)
			lab_close(&s);
		lab_sleep_ms(20);
	}
	lab_close(&s);
	return NULL;
}

int main(int argc, char **argv)
{
	struct lab_databases_config config = { .nr = 3,
					       .work_ms = 3,
					       .sync_replicas = 1 };
	pthread_t threads[2 * WRITERS];
	char seeds[3][16], name[32], why[200];
	int64_t end;
	int i, lost = 0;

	lab_init(argc, argv);
	for (i = 0; i < 3; i++)
		lab_ip(i, seeds[i]);
	for (i = 0; i < CORES; i++) {
		snprintf(name, sizeof(name), "core-%d", i + 1);
		lab_start(name, i, true, true, seeds, LOSSES);
	}
	for (i = 0; i < FRONTS; i++) {
		snprintf(name, sizeof(name), "front-%d", i + 1);
		fronts[i] =
			lab_start(name, 100 + i, false, true, seeds, LOSSES);
	}
	lab_databases_start(&config);
	lab_sleep_ms(1000);
	if (!lab_put(1, lab_config(1, routes, 2, 1), 10000))
		lab_exit(LAB_CANNOT_RUN, "the core did not start");
	lab_sleep_ms(SITE_CATCH_UP_MS);
	for (i = 0; i < 2 * WRITERS; i++)
		pthread_create(&threads[i], NULL, client, (void *)(intptr_t)i);
	lab_sleep_ms(5000);
	if (nr_acknowledged < 50)
		lab_exit(LAB_CANNOT_RUN, "writes are not served");
	if (lab_trouble()) {
		lab_database_lag(1, LAG_MS);
		lab_sleep_ms(2000);
		lab_database_deaf(2, true);
		lab_sleep_ms(400);
		lab_database_crash(0);
	}
	end = lab_now_ms() + 15000;
	while (lab_now_ms() < end && (!lab_trouble() || !lab_promotions()))
		lab_sleep_ms(50);
	lab_sleep_ms(2000);
	ending = true;
	for (i = 0; i < 2 * WRITERS; i++)
		pthread_join(threads[i], NULL);
	lab_copy_events("\"promotion_ordered\"");
	if (lab_trouble() && !lab_promotions())
		lab_exit(LAB_CANNOT_RUN, "no database was promoted");
	for (i = 0; i < nr_acknowledged; i++)
		if (!lab_is_committed(acknowledged[i])) {
			lab_record("acknowledged, not in the log of %s: %s",
				   lab_database_name(lab_primary()),
				   acknowledged[i]);
			lost++;
		}
	snprintf(why, sizeof(why),
		 "%d writes acknowledged, %d of them not in the log of the "
		 "database that was promoted",
		 nr_acknowledged, lost);
	lab_exit(lost ? LAB_BROKEN : LAB_HELD, why);
}
