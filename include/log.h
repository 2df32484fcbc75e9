#ifndef LOG_H
#define LOG_H

/**
 * DOC: Log lines in syslog style on standard error.
 *
 * A line is "<priority>ident[pid]: text". Lines report changes of state;
 * everything that happens per request is a counter instead.
 */

enum log_level {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
};

/**
 * log_init() - set the program name and the least important level printed
 * @ident: program name, kept by reference
 * @max_level: lines above this number are dropped
 */
void log_init(const char *ident, enum log_level max_level);

/**
 * log_line() - write one line; safe to call from several threads
 * @level: importance of the line
 * @fmt: printf format without a trailing newline
 */
void log_line(enum log_level level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#define log_error(...) log_line(LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_warning(...) log_line(LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_notice(...) log_line(LOG_LEVEL_NOTICE, __VA_ARGS__)
#define log_info(...) log_line(LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) log_line(LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
