#ifndef POSITION_QUERY_H
#define POSITION_QUERY_H

#include "position.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: The query for an upstream's position, and its answer.
 *
 * One row: whether the upstream is in recovery (t or f), its term as a
 * hexadecimal number, the log position received (of a primary: written) and
 * the log position replayed.
 */

extern const char position_query_text[];

struct position_row {
	bool in_recovery;
	struct position received;
	struct position replayed;
};

/**
 * position_row_parse() - decode a DataRow payload
 * Return: false if a column is missing, NULL or malformed; a replica without
 * a running receiver has no term and is such a case
 */
bool position_row_parse(const uint8_t *payload, size_t len,
			struct position_row *row);

#endif
