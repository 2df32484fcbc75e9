/*
 * Three machines of the core are replaced by plan: the successors run first, at
 * most two of them within the catch-up time. Only after they had that time the
 * machines that they replace are stopped, the present leader each time, the
 * first of them more than the catch-up time before the third.
 */
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CORES 5
#define REPLACED 3
#define LOSSES 2
/* When the machines are stopped, milliseconds after the first stop. */
static const int stop_at_ms[REPLACED] = { 0, 2400, 4200 };

static const struct lab_route routes[] = {
	{ "bookings", "primary", 800, 100, 0 },
};

static struct lab_process *core[CORES + REPLACED];

static void start_core(int nr, bool bootstrap, char seeds[3][16])
{
	char name[32];

	snprintf(name, sizeof(name), "core-%d", nr + 1);
	core[nr] = lab_start(name, nr, true, bootstrap, seeds, LOSSES);
}

static void stop_old_machines(void)
{
	int64_t first_ms = lab_now_ms();
	int i, status, tries;

	for (i = 0; i < REPLACED; i++) {
		struct lab_process *p;

		lab_sleep_ms(first_ms + stop_at_ms[i] - lab_now_ms());
		/* An election may be under way. */
		for (tries = 0; !(p = lab_leader()) && tries < 20; tries++)
			lab_sleep_ms(20);
		if (!p)
			lab_exit(LAB_CANNOT_RUN, "no machine leads");
		lab_record("%s leads", p->name);
		lab_signal(p, SIGTERM);
		if (!lab_wait_end(p, SITE_GRACE_S * 1000, &status))
			lab_kill(p);
	}
}

int main(int argc, char **argv)
{
	char seeds[3][16], why[200];
	long version = 2, read;
	int i;

	lab_init(argc, argv);
	for (i = 0; i < 3; i++)
		lab_ip(i, seeds[i]);
	for (i = 0; i < CORES; i++)
		start_core(i, true, seeds);
	lab_sleep_ms(1000);
	if (!lab_put(1, lab_config(1, routes, 1, 0), 10000))
		lab_exit(LAB_CANNOT_RUN, "the core did not start");
	lab_sleep_ms(SITE_CATCH_UP_MS);
	/* The operator's list: any three that run. */
	for (i = 0; i < 3; i++)
		memcpy(seeds[i], core[CORES - 1 - i]->ip, 16);
	start_core(CORES, false, seeds);
	start_core(CORES + 1, false, seeds);
	lab_sleep_ms(SITE_CATCH_UP_MS + 300);
	start_core(CORES + 2, false, seeds);
	lab_sleep_ms(SITE_CATCH_UP_MS + 300);
	if (!lab_put(version, lab_config(version, routes, 1, 0), SITE_ACK_MS))
		lab_exit(LAB_CANNOT_RUN, "version 2 was not acknowledged");
	if (lab_trouble())
		stop_old_machines();
	lab_record("%d machines of the core run, all for more than %d ms",
		   lab_trouble() ? CORES : CORES + REPLACED, SITE_CATCH_UP_MS);
	lab_sleep_ms(SITE_CONTACT_MS + SITE_CATCH_UP_MS);
	if (lab_put(version + 1, lab_config(version + 1, routes, 1, 0),
		    2 * SITE_ACK_MS))
		version++;
	read = lab_get(3 * SITE_CONTACT_MS);
	lab_copy_events("\"member_change\"");
	snprintf(why, sizeof(why),
		 "acknowledged %ld, read back at the end %ld (0: it doesn't "
		 "come), %d machines of the core replaced by plan",
		 version, read, lab_trouble() ? REPLACED : 0);
	lab_exit(read < version ? LAB_BROKEN : LAB_HELD, why);
}
