#ifndef LAB_INTERNAL_H
#define LAB_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>

/* Offsets from the first port. */
enum lab_port_use {
	LAB_PORT_INTERNAL,
	LAB_PORT_CONTROL,
	LAB_PORT_FRONT,
	LAB_PORT_READY,
	LAB_PORT_PLATFORM,
	LAB_PORT_DATABASE,
};

/* Machines of the stand-ins; daemons use the numbers below. */
#define LAB_MACHINE_PLATFORM 200
#define LAB_MACHINE_DATABASES 210

int lab_port(enum lab_port_use use);
int lab_connect_to(const char *ip, int port, int timeout_ms);
bool lab_write_all(int fd, const char *text, size_t len);

#endif
