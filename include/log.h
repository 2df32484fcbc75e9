#ifndef LOG_H
#define LOG_H

/**
 * DOC: Logging to standard error with syslog priorities.
 *
 * A line is "<priority>ident[pid]: text". Log state changes only; events
 * that occur per request are counted in metrics instead.
 */

enum log_level {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
};

/**
 * log_init() - set the program name and the log level
 * @ident: program name, kept by reference
 * @max_level: messages with a higher (less severe) level are discarded
 */
void log_init(const char *ident, enum log_level max_level);

/**
 * log_line() - log a message; thread-safe
 * @level: severity of the message
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
