#include "router.h"
#include "session_positions.h"

#include <stdio.h>
#include <stdlib.h>

/*
 * Routes a number of reads as the daemon does: look up the session, decide.
 * Run under callgrind by routing_cost.sh, twice with different numbers of
 * reads, so that the cost of the set-up cancels out.
 *
 * Usage: routing_cost DATABASES SESSIONS READS
 */

#define REPLICATION 3
#define NOW_US (100 * 1000000ll)

static uint64_t state = 1;

static uint64_t next_random(void)
{
	state = state * 6364136223846793005ull + 1442695040888963407ull;
	return state >> 33;
}

static void add_databases(struct upstream_directory *dir, unsigned nr)
{
	struct position pos = { 1, 1000000 };
	struct upstream_announcement ann = {
		.address = "10.0.0.1",
		.port = 5432,
		.availability_zone = "gl-west",
		.service = "grindplan-db",
	};
	char name[32], cluster[32];
	unsigned i;
	int handle;

	for (i = 0; i < nr; i++) {
		snprintf(name, sizeof(name), "db%u", i);
		snprintf(cluster, sizeof(cluster), "c%u", i / REPLICATION);
		ann.name = ann.database = name;
		ann.cluster = cluster;
		handle = directory_record_announcement(dir, &ann, 0, NOW_US);
		directory_record_probe(dir, handle, true, NOW_US);
		if (i % REPLICATION == 0)
			directory_set_primary(dir, i / REPLICATION, name, 1,
					      false);
		directory_record_position(dir, handle, i % REPLICATION != 0,
					  pos, pos, NOW_US - 1000, NOW_US,
					  true);
	}
}

static uint64_t read_once(struct session_positions *sp,
			  const struct upstream_directory *dir,
			  struct router *router, unsigned sessions)
{
	uint64_t session = next_random() % sessions;
	unsigned clusters = dir->clusters->len;
	struct session_answer answer;
	struct route_decision out;
	struct route_request req = {
		.cluster = next_random() % clusters,
		.read = true,
		.max_lag_us = 10000000,
		.lease_valid = true,
		.exclude = UPSTREAM_NONE,
		.deadline_us = NOW_US + 1000000,
	};

	session_positions_lookup(sp, session * 0x9E3779B97F4A7C15ull,
				 session % clusters, 1, NOW_US, &answer);
	req.has_position = answer.found;
	req.needed = answer.pos;
	req.fresh_within_us = answer.complete_for_us;
	router_decide(router, dir, &req, NOW_US, &out);
	return out.upstream;
}

int main(int argc, char **argv)
{
	unsigned databases, sessions, reads, i;
	struct upstream_directory dir;
	struct session_positions sp;
	struct router router;
	uint64_t sum = 0;

	if (argc != 4) {
		fprintf(stderr,
			"usage: routing_cost DATABASES SESSIONS READS\n");
		return EXIT_FAILURE;
	}
	databases = atoi(argv[1]);
	sessions = atoi(argv[2]);
	reads = atoi(argv[3]);
	directory_init(&dir, 15000000);
	add_databases(&dir, databases);
	session_positions_init(&sp, sessions, SESSION_RETENTION_US, 0);
	session_positions_change_members(&sp, 1, 0, SESSION_MEMBERS_GRACE_US);
	for (i = 0; i < sessions; i++)
		session_positions_store(&sp, i * 0x9E3779B97F4A7C15ull,
					i % dir.clusters->len,
					(struct position){ 1, 1000 }, 1,
					NOW_US);
	router_init(&router, "gl-west", 1);
	for (i = 0; i < reads; i++)
		sum += read_once(&sp, &dir, &router, sessions);
	printf("%u reads, sum of handles %lu\n", reads, (unsigned long)sum);
	session_positions_finish(&sp);
	directory_finish(&dir);
	return EXIT_SUCCESS;
}
