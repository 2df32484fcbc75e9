/*
 * A front gets SIGTERM while clients send one read after the other. Each goes
 * on with its open connection until that ends.
 */
#include "lab.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CORES 3
#define FRONTS 2
#define LOSSES 1
#define CLIENTS 16
/* Mean work of a look-up at the site, milliseconds. */
#define WORK_MS 15
/* The deadline of a look-up at the site, milliseconds. */
#define DEADLINE_MS 3000
#define LOSS_SLACK_MS 200

static const struct lab_route routes[] = {
	{ "lookups", "bounded_staleness", 1200, 300, 1500 },
};

static struct lab_process *fronts[FRONTS];
static int64_t term_ms;
static bool ending;
static int nr_served, nr_cut, nr_closed;
/* Number of the last statement of each client that reached a database. */
static int arrived[CLIENTS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void note_arrival(const char *id)
{
	int number, n;

	if (sscanf(id, "c%dn%d", &number, &n) == 2)
		arrived[number] = n;
}

static void *client(void *data)
{
	int number = (int)(intptr_t)data, n = 0;
	struct lab_session s = { .fd = -1 };
	char code[24];

	if (!lab_connect(&s, fronts[0]->ip) || !lab_begin(&s, "lookups", code))
		lab_exit(LAB_CANNOT_RUN, "no session");
	while (!ending) {
		struct lab_answer a;
		char id[32], text[40];
		int64_t sent;

		snprintf(id, sizeof(id), "c%dn%d", number, ++n);
		snprintf(text, sizeof(text), "READ item%d", number);
		sent = lab_now_ms();
		lab_query(&s, id, text, DEADLINE_MS, &a);
		pthread_mutex_lock(&lock);
		if (a.whole && a.done)
			nr_served++;
		pthread_mutex_unlock(&lock);
		if (!a.whole) {
			int64_t now = lab_now_ms();
			bool passed_on = arrived[number] == n;
			/* Sent by 3 s after SIGTERM it would be excused. */
			bool cut = term_ms && sent - term_ms > 3000 &&
				   now - sent < DEADLINE_MS &&
				   (passed_on || now - sent > LOSS_SLACK_MS);

			lab_record("client %d: %s sent %lld ms after SIGTERM, "
				   "%s a database, connection ends %lld ms "
				   "later without an answer",
				   number, id, (long long)(sent - term_ms),
				   passed_on ? "reached" : "did not reach",
				   (long long)(now - sent));
			pthread_mutex_lock(&lock);
			nr_cut += cut;
			nr_closed += !cut;
			pthread_mutex_unlock(&lock);
			break;
		}
	}
	lab_close(&s);
	return NULL;
}

int main(int argc, char **argv)
{
	struct lab_databases_config config = { .nr = 3,
					       .work_ms = WORK_MS,
					       .arrived = note_arrival };
	pthread_t threads[CLIENTS];
	char seeds[3][16], name[32], why[200];
	int i, status = 0;

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
	if (!lab_put(1, lab_config(1, routes, 1, 0), 10000))
		lab_exit(LAB_CANNOT_RUN, "the core did not start");
	lab_sleep_ms(SITE_CATCH_UP_MS);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&threads[i], NULL, client, (void *)(intptr_t)i);
	lab_sleep_ms(5000);
	if (nr_served < 100)
		lab_exit(LAB_CANNOT_RUN, "reads are not served");
	if (lab_trouble()) {
		term_ms = lab_now_ms();
		lab_signal(fronts[0], SIGTERM);
		if (!lab_wait_end(fronts[0], SITE_GRACE_S * 1000, &status))
			lab_kill(fronts[0]);
	} else {
		lab_sleep_ms(SITE_GRACE_S * 1000);
	}
	ending = true;
	for (i = 0; i < CLIENTS; i++)
		pthread_join(threads[i], NULL);
	snprintf(why, sizeof(why),
		 "%d reads served, %d of %d sessions end with a read that was "
		 "sent over 3 s after SIGTERM, had been passed on and got no "
		 "answer; %d ended otherwise",
		 nr_served, nr_cut, CLIENTS, nr_closed);
	lab_exit(nr_cut ? LAB_BROKEN : LAB_HELD, why);
}
