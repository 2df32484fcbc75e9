#ifndef HOSTILE_H
#define HOSTILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Runs one process of the product on a loopback address and acts as
 * clients that do not behave.
 *
 * Each test checks only what does not depend on the machine's speed: that the
 * process lives, that its memory and its descriptors stay under a bound, and
 * that an ordinary request is answered afterwards. A failed check ends the test
 * with a message.
 */

/** Time within which a process starts or answers one ordinary request, on a
 * busy machine, microseconds. */
#define HOSTILE_PATIENCE_US (20 * 1000000ll)

/**
 * struct hostile_process - the process under test
 * @folder: temporary folder with its settings, data and log
 */
struct hostile_process {
	pid_t pid;
	char *folder;
};

/**
 * hostile_start() - start a program
 * @program: path of the program
 * @settings: text of its settings; "@FOLDER@" stands for the folder
 * @max_fds: limit on its descriptors, 0 for that of the test
 */
void hostile_start(struct hostile_process *p, const char *program,
		   const char *settings, unsigned max_fds);
/** hostile_stop() - end the process and remove its folder */
void hostile_stop(struct hostile_process *p);
/** hostile_check_alive() - fail unless the process runs */
void hostile_check_alive(struct hostile_process *p);
/** hostile_peak_kb() - largest resident memory so far, kB */
unsigned long hostile_peak_kb(const struct hostile_process *p);
/** hostile_open_fds() - descriptors that are open now */
unsigned hostile_open_fds(const struct hostile_process *p);
/** hostile_check_bounds() - fail if the peak memory is above @max_kb, or more
 * than @max_fds descriptors are open */
void hostile_check_bounds(struct hostile_process *p, unsigned long max_kb,
			  unsigned max_fds);

/** hostile_free_port() - a port that is free on @ip now */
uint16_t hostile_free_port(const char *ip);
/** hostile_connect() - Return: a connected non-blocking socket, -1 if refused */
int hostile_connect(const char *ip, uint16_t port);
/** hostile_await_listener() - fail unless the port accepts within the time */
void hostile_await_listener(struct hostile_process *p, const char *ip,
			    uint16_t port);
/** hostile_send() - send as much as the socket takes now. Return: bytes sent,
 * -1 if the connection is closed */
ssize_t hostile_send(int fd, const void *data, size_t len);
/**
 * hostile_read_until() - read until @text has come
 * Return: everything read so far, to be freed; NULL if the connection ended or
 *         the time passed
 */
char *hostile_read_until(int fd, const char *text);
/** hostile_sleep_ms() - give the process under test time to act */
void hostile_sleep_ms(unsigned ms);

#endif
