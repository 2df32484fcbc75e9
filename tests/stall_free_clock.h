#ifndef STALL_FREE_CLOCK_H
#define STALL_FREE_CLOCK_H

#include "clock.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/**
 * DOC: Replaces clock_now_us() and fsync() in a test program of one thread.
 *
 * The clock stops while the thread is ready to run but has no processor, and
 * each fsync() takes STALL_FREE_SYNC_TIME_US, so that a bound holds for the
 * code under test however busy the machine is. Sleep, computation and all other
 * system calls count in full. Code under test and bound use the same clock: a
 * wait that the code chooses is measured at its full length.
 */

/** Time of one sync, microseconds: more than on an idle machine. */
#define STALL_FREE_SYNC_TIME_US 500

/* Time by which real syncs were longer than STALL_FREE_SYNC_TIME_US each. */
static int64_t excluded_sync_ns;

/* The second field of schedstat; 0, so that no time is excluded, if the kernel
 * has none. */
static int64_t read_runnable_wait_ns(void)
{
	static int fd = -1;
	char text[64] = "";
	char *end;

	if (fd < 0)
		fd = open("/proc/thread-self/schedstat", O_RDONLY | O_CLOEXEC);
	if (pread(fd, text, sizeof(text) - 1, 0) <= 0)
		return 0;
	g_ascii_strtoull(text, &end, 10);
	return (int64_t)g_ascii_strtoull(end, NULL, 10);
}

static int64_t read_clock_ns(void)
{
	int64_t wait_ns, now_ns;
	struct timespec ts;

	/* Repeated if the thread lost its processor between the two reads. */
	do {
		wait_ns = read_runnable_wait_ns();
		clock_gettime(CLOCK_BOOTTIME, &ts);
		now_ns = (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
	} while (read_runnable_wait_ns() != wait_ns);
	return now_ns - wait_ns - excluded_sync_ns;
}

int64_t clock_now_us(void)
{
	static int64_t newest_us;

	newest_us = MAX(newest_us, read_clock_ns() / 1000);
	return newest_us;
}

int fsync(int fd)
{
	int64_t start_ns = read_clock_ns();
	int result = (int)syscall(SYS_fsync, fd);
	int err = errno;

	excluded_sync_ns +=
		read_clock_ns() - start_ns - STALL_FREE_SYNC_TIME_US * 1000ll;
	errno = err;
	return result;
}

#endif
