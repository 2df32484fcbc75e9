#ifndef CROWD_H
#define CROWD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Clients of comfreywheeld that do not behave, and an ordinary one.
 *
 * The process under test is started by proxy.sh; the program only knows its
 * process id and its ports.
 */

/** struct target - the process under test */
struct target {
	pid_t pid;
	uint16_t callers;
	uint16_t admin;
	uint16_t bus;
	uint16_t control;
};

/** frame_add() - append a frame of the PostgreSQL protocol */
void frame_add(GByteArray *to, char type, const void *body, size_t len);
/** frame_text() - a frame with one string */
void frame_text(GByteArray *to, char type, const char *text);
void frame_parse(GByteArray *to, const char *name, const char *sql);
void frame_bind(GByteArray *to, const char *portal, const char *name);
void frame_execute(GByteArray *to, const char *portal);
/** frame_header() - the first five bytes of a frame that claims @len */
void frame_header(GByteArray *to, char type, uint32_t len);
/** frame_startup() - a start-up packet of user dispatcher-1 */
void frame_startup(GByteArray *to);

/** push() - send until all is sent, the peer closed or nothing moved for
 * 500 ms. Return: bytes sent */
size_t push(int fd, const void *data, size_t len);
/** caller_connect() - a connection that only was accepted, -1 if refused */
int caller_connect(const struct target *t);
/** caller_open() - a session that is ready, -1 if refused */
int caller_open(const struct target *t);
/** caller_answer() - read up to ReadyForQuery. Return: whether @expected is in
 * it */
bool caller_answer(int fd, const char *expected);
/** caller_query() - Return: whether the answer of @sql contains @expected */
bool caller_query(int fd, const char *sql, const char *expected);
/** caller_serves() - fail unless an ordinary request is answered */
void caller_serves(const struct target *t, const char *sql);

struct load {
	const char *name;
	/** the crowd, kept open while @run returns descriptors in @fds */
	void (*run)(const struct target *t, GArray *fds);
	unsigned long max_kb;
	unsigned max_fds;
};

extern const struct load statement_loads[];
extern const struct load stop_loads[];
extern const struct load port_loads[];

#endif
