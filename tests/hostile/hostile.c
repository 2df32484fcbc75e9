#include "hostile.h"

#include "../remove_tree.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static char *fill_in(const char *settings, const char *folder)
{
	g_auto(GStrv) parts = g_strsplit(settings, "@FOLDER@", -1);

	return g_strjoinv(folder, parts);
}

/* Runs in the child between fork and exec. */
static void run_program(const char *program, const char *file, int log,
			unsigned max_fds)
{
	char *argv[] = { (char *)program, NULL };
	char *envp[] = { (char *)file, NULL };
	struct rlimit limit = { max_fds, max_fds };

	if (max_fds)
		setrlimit(RLIMIT_NOFILE, &limit);
	dup2(log, 1);
	dup2(log, 2);
	execve(program, argv, envp);
	_exit(127);
}

void hostile_start(struct hostile_process *p, const char *program,
		   const char *settings, unsigned max_fds)
{
	g_autofree char *file = NULL, *variable = NULL, *log = NULL;
	g_autofree char *text = NULL;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	p->folder = g_dir_make_tmp("comfreywheel-hostile-XXXXXX", NULL);
	g_assert(p->folder);
	file = g_build_filename(p->folder, "settings", NULL);
	log = g_build_filename(p->folder, "log", NULL);
	variable = g_strdup_printf("COMFREYWHEEL_SETTINGS=%s", file);
	text = fill_in(settings, p->folder);
	g_assert(g_file_set_contents(file, text, -1, NULL));
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	g_assert(fd >= 0);
	p->pid = fork();
	g_assert(p->pid >= 0);
	if (!p->pid)
		run_program(program, variable, fd, max_fds);
	close(fd);
}

void hostile_stop(struct hostile_process *p)
{
	if (p->pid > 0) {
		kill(p->pid, SIGKILL);
		waitpid(p->pid, NULL, 0);
	}
	remove_tree(p->folder);
	g_free(p->folder);
}

static void print_log(const struct hostile_process *p)
{
	g_autofree char *file = g_build_filename(p->folder, "log", NULL);
	g_autofree char *text = NULL;
	gsize len;

	if (g_file_get_contents(file, &text, &len, NULL))
		fprintf(stderr, "%s", text + (len > 4000 ? len - 4000 : 0));
}

static void fail(struct hostile_process *p, const char *why)
{
	print_log(p);
	hostile_stop(p);
	fprintf(stderr, "failed: %s\n", why);
	_exit(1);
}

void hostile_check_alive(struct hostile_process *p)
{
	g_autofree char *why = NULL;
	int status;

	if (waitpid(p->pid, &status, WNOHANG) != p->pid)
		return;
	p->pid = 0;
	why = g_strdup_printf("the process ended, wait status %d", status);
	fail(p, why);
}

unsigned long hostile_peak_kb(const struct hostile_process *p)
{
	g_autofree char *file = g_strdup_printf("/proc/%d/status", (int)p->pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmHWM:");
	return line ? strtoul(line + strlen("VmHWM:"), NULL, 10) : 0;
}

unsigned hostile_open_fds(const struct hostile_process *p)
{
	g_autofree char *folder = g_strdup_printf("/proc/%d/fd", (int)p->pid);
	GDir *dir = g_dir_open(folder, 0, NULL);
	unsigned nr = 0;

	if (!dir)
		return 0;
	while (g_dir_read_name(dir))
		nr++;
	g_dir_close(dir);
	return nr;
}

void hostile_check_bounds(struct hostile_process *p, unsigned long max_kb,
			  unsigned max_fds)
{
	g_autofree char *why = NULL;
	unsigned long kb;
	unsigned fds;

	hostile_check_alive(p);
	kb = hostile_peak_kb(p);
	fds = hostile_open_fds(p);
	printf("peak %lu kB of %lu, %u descriptors of %u\n", kb, max_kb, fds,
	       max_fds);
	if (kb <= max_kb && fds <= max_fds)
		return;
	why = g_strdup_printf(
		"peak %lu kB, bound %lu; %u descriptors, bound %u", kb, max_kb,
		fds, max_fds);
	fail(p, why);
}

static struct sockaddr_in address_of(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	inet_pton(AF_INET, ip, &addr.sin_addr);
	return addr;
}

uint16_t hostile_free_port(const char *ip)
{
	struct sockaddr_in addr = address_of(ip, 0);
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert(!bind(fd, (struct sockaddr *)&addr, len));
	g_assert(!getsockname(fd, (struct sockaddr *)&addr, &len));
	close(fd);
	return ntohs(addr.sin_port);
}

int hostile_connect(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

void hostile_await_listener(struct hostile_process *p, const char *ip,
			    uint16_t port)
{
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US;

	while (g_get_monotonic_time() < end_us) {
		int fd = hostile_connect(ip, port);

		if (fd >= 0) {
			close(fd);
			return;
		}
		hostile_check_alive(p);
		hostile_sleep_ms(20);
	}
	fail(p, "the process does not listen");
}

ssize_t hostile_send(int fd, const void *data, size_t len)
{
	ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

	return n < 0 && errno == EAGAIN ? 0 : n;
}

char *hostile_read_until(int fd, const char *text)
{
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US;
	GString *read = g_string_new(NULL);

	while (g_get_monotonic_time() < end_us) {
		struct pollfd pfd = { .fd = fd, .events = POLLIN };
		char buffer[16 * 1024];
		ssize_t n;

		if (strstr(read->str, text))
			return g_string_free(read, FALSE);
		poll(&pfd, 1, 100);
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (!n || (n < 0 && errno != EAGAIN && errno != EINTR))
			break;
		if (n > 0)
			g_string_append_len(read, buffer, n);
	}
	g_string_free(read, TRUE);
	return NULL;
}

void hostile_sleep_ms(unsigned ms)
{
	g_usleep(ms * 1000ul);
}
