#ifndef CAPACITY_H
#define CAPACITY_H

#include <stdio.h>

/**
 * capacity_experiment() - print the slopes behind docs/CAPACITY.md
 * Return: 0; the figures carry no verdict of their own
 */
int capacity_experiment(FILE *out);

#endif
