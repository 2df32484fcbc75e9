#include "event_log.h"

#include "clock.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

static const char *process_name = "comfreywheel";
static GString *queue;
static int out_fd = STDOUT_FILENO;
static int64_t credit_us;
static int64_t credit_updated_us;
static uint64_t nr_dropped;
static uint64_t nr_dropped_reported;

#define LINE_COST_US (1000000ll / EVENT_LOG_LINES_PER_SECOND)

void event_log_set_fd(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	out_fd = fd;
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void event_log_init(const char *process)
{
	process_name = process;
	if (!queue)
		queue = g_string_new(NULL);
	credit_updated_us = clock_now_us();
	credit_us = EVENT_LOG_BURST_LINES * LINE_COST_US;
	event_log_set_fd(out_fd);
}

static bool consume_credit(void)
{
	int64_t now_us = clock_now_us();

	credit_us = MIN(credit_us + now_us - credit_updated_us,
			EVENT_LOG_BURST_LINES * LINE_COST_US);
	credit_updated_us = now_us;
	if (credit_us < LINE_COST_US)
		return false;
	credit_us -= LINE_COST_US;
	return true;
}

static void queue_line(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);

	json_decref(line);
	if (!text)
		return;
	if (!queue)
		queue = g_string_new(NULL);
	if (queue->len + strlen(text) >= EVENT_LOG_QUEUE_BYTES) {
		nr_dropped++;
	} else {
		g_string_append(queue, text);
		g_string_append_c(queue, '\n');
	}
	free(text);
}

static json_t *build_line(const char *event, const char *fmt, va_list ap)
{
	json_t *line = json_pack("{s:f, s:s, s:s}", "t", clock_now_us() / 1e6,
				 "process", process_name, "event", event);
	json_t *rest;

	if (!*fmt)
		return line;
	rest = json_vpack_ex(NULL, 0, fmt, ap);
	if (rest)
		json_object_update(line, rest);
	else
		json_object_set_new(line, "unreadable", json_true());
	json_decref(rest);
	return line;
}

static void report_dropped_lines(void)
{
	if (nr_dropped == nr_dropped_reported)
		return;
	queue_line(json_pack("{s:f, s:s, s:s, s:I}", "t", clock_now_us() / 1e6,
			     "process", process_name, "event", "lines_left_out",
			     "lines",
			     (json_int_t)(nr_dropped - nr_dropped_reported)));
	nr_dropped_reported = nr_dropped;
}

void event_log(const char *event, const char *fmt, ...)
{
	va_list ap;

	if (!consume_credit()) {
		nr_dropped++;
		return;
	}
	report_dropped_lines();
	va_start(ap, fmt);
	queue_line(build_line(event, fmt, ap));
	va_end(ap);
}

void event_log_always(const char *event, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	queue_line(build_line(event, fmt, ap));
	va_end(ap);
	event_log_flush();
}

bool event_log_flush(void)
{
	ssize_t n;

	if (!queue || !queue->len)
		return false;
	n = write(out_fd, queue->str, queue->len);
	if (n > 0) {
		g_string_erase(queue, 0, n);
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		/* The reader is gone, so the queued lines are dropped. */
		nr_dropped++;
		g_string_truncate(queue, 0);
	}
	return queue->len > 0;
}

uint64_t event_log_dropped_lines(void)
{
	return nr_dropped;
}
