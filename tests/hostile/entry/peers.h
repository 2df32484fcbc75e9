#ifndef HOSTILE_PEERS_H
#define HOSTILE_PEERS_H

#include <stdint.h>

/**
 * DOC: A control VM and an upstream for an entry daemon under test, both in one
 * thread of the test.
 *
 * The control VM answers each report with a view: a configuration with the
 * database "db", and a sighting of the upstream. The upstream answers "READ
 * rows N" with N rows of PEERS_ROW_BYTES, does not answer "READ never", and
 * answers everything else at once.
 */

#define PEERS_CONTROL_IP "127.71.0.1"
#define PEERS_ENTRY_IP "127.71.0.2"
#define PEERS_UPSTREAM_IP "127.71.0.3"

/** Length of one row with CR LF, bytes. */
#define PEERS_ROW_BYTES (64u * 1024)
/** Connections that the upstream accepts, from the configuration. */
#define PEERS_MAX_CONNECTIONS 8

/** peers_start() - serve for the rest of the process
 * @internal_port: port of the daemons' own messages on each address */
void peers_start(uint16_t internal_port);

#endif
