#ifndef FAILOVER_FAULTS_H
#define FAILOVER_FAULTS_H

#include "failover_world.h"

/**
 * DOC: Faults of the model, alone and in pairs, and what must hold after.
 */

/** faults_nr() - number of faults */
unsigned faults_nr(void);
const char *fault_name(unsigned fault);
void fault_apply(struct world *world, unsigned fault);

/** world_primary() - database that the newest term names */
int world_primary(const struct world *world, unsigned cluster);
/** world_repair() - operators copy databases anew that follow nobody */
void world_repair(struct world *world);
/** world_heal() - ends all partitions, restarts all nodes */
void world_heal(struct world *world);

/** struct faults_run - one run: two faults, healed, until all write again */
struct faults_run {
	struct world_config config;
	unsigned first;
	unsigned second;
	int64_t gap_us;
	int64_t hold_us;
};

/**
 * faults_check() - run it
 * Return: NULL if every invariant held and every daemon wrote to every
 *         cluster in the end; else what was seen, to be freed
 */
char *faults_check(const struct faults_run *run);

#endif
