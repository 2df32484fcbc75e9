#ifndef FAILOVER_EXPERIMENT_H
#define FAILOVER_EXPERIMENT_H

#include <stdio.h>

/**
 * failover_experiment() - fail-over gap, false promotions, changes, bytes
 * @seeds: runs of each figure, at least 1,000 are made
 * Return: 0 if every target is met, 1 if one is missed
 */
int failover_experiment(unsigned seeds, FILE *out);

/** failover_load() - changes in force and control traffic, by size */
int failover_load(unsigned seeds, FILE *out);
int failover_traffic(FILE *out);

#endif
