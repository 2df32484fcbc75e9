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
static GString *waiting;
static int out_fd = STDOUT_FILENO;
static int64_t tokens_us;
static int64_t refilled_us;
static uint64_t left_out;
static uint64_t left_out_reported;

#define TOKEN_US (1000000ll / EVENT_LOG_RATE)

void event_log_to(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	out_fd = fd;
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void event_log_init(const char *process)
{
	process_name = process;
	if (!waiting)
		waiting = g_string_new(NULL);
	refilled_us = clock_now_us();
	tokens_us = EVENT_LOG_BURST * TOKEN_US;
	event_log_to(out_fd);
}

static bool take_token(void)
{
	int64_t now_us = clock_now_us();

	tokens_us = MIN(tokens_us + now_us - refilled_us,
			EVENT_LOG_BURST * TOKEN_US);
	refilled_us = now_us;
	if (tokens_us < TOKEN_US)
		return false;
	tokens_us -= TOKEN_US;
	return true;
}

static void add(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);

	json_decref(line);
	if (!text)
		return;
	if (!waiting)
		waiting = g_string_new(NULL);
	if (waiting->len + strlen(text) >= EVENT_LOG_QUEUE) {
		left_out++;
	} else {
		g_string_append(waiting, text);
		g_string_append_c(waiting, '\n');
	}
	free(text);
}

static json_t *line_of(const char *event, const char *fmt, va_list ap)
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

static void report_left_out(void)
{
	if (left_out == left_out_reported)
		return;
	add(json_pack("{s:f, s:s, s:s, s:I}", "t", clock_now_us() / 1e6,
		      "process", process_name, "event", "lines_left_out",
		      "lines", (json_int_t)(left_out - left_out_reported)));
	left_out_reported = left_out;
}

void event_log(const char *event, const char *fmt, ...)
{
	va_list ap;

	if (!take_token()) {
		left_out++;
		return;
	}
	report_left_out();
	va_start(ap, fmt);
	add(line_of(event, fmt, ap));
	va_end(ap);
}

void event_log_always(const char *event, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	add(line_of(event, fmt, ap));
	va_end(ap);
	event_log_flush();
}

bool event_log_flush(void)
{
	ssize_t n;

	if (!waiting || !waiting->len)
		return false;
	n = write(out_fd, waiting->str, waiting->len);
	if (n > 0) {
		g_string_erase(waiting, 0, n);
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		/* Nobody reads any more: the lines have no other place. */
		left_out++;
		g_string_truncate(waiting, 0);
	}
	return waiting->len > 0;
}

uint64_t event_log_left_out(void)
{
	return left_out;
}
