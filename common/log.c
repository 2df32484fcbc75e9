#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

/* Longer lines are truncated, so that each line is a single write(2). */
#define LOG_LINE_MAX 1024

static const char *log_ident = "comfreywheel";
static enum log_level log_max_level = LOG_LEVEL_INFO;

void log_init(const char *ident, enum log_level max_level)
{
	log_ident = ident;
	log_max_level = max_level;
}

void log_line(enum log_level level, const char *fmt, ...)
{
	char buf[LOG_LINE_MAX];
	va_list ap;
	int len, more;

	if (level > log_max_level)
		return;
	len = snprintf(buf, sizeof(buf), "<%d>%s[%d]: ", level, log_ident,
		       (int)getpid());
	va_start(ap, fmt);
	more = vsnprintf(buf + len, sizeof(buf) - len - 1, fmt, ap);
	va_end(ap);
	if (more < 0)
		return;
	len += more;
	if (len > (int)sizeof(buf) - 2)
		len = sizeof(buf) - 2;
	buf[len++] = '\n';
	/* Errors of the log itself are ignored. */
	if (write(STDERR_FILENO, buf, len) < 0)
		return;
}
