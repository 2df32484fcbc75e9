#ifndef FUZZ_H
#define FUZZ_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/**
 * DOC: Entry point of libFuzzer. A target aborts where an invariant fails.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** fuzz_text() - the input as a terminated text, cut at a zero byte */
static inline char *fuzz_text(const uint8_t *data, size_t size)
{
	return g_strndup((const char *)data, size);
}

/** fuzz_check_error() - a refusal states a cause and, after ";", a remedy */
static inline void fuzz_check_error(GError *error)
{
	g_assert_nonnull(error);
	g_assert_nonnull(strstr(error->message, "; "));
	g_error_free(error);
}

#endif
