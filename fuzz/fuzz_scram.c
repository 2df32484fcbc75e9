#include "fuzz.h"
#include "scram.h"

#define VERIFIER                                        \
	"SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$"  \
	"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:" \
	"wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

static void check_verifier(const uint8_t *data, size_t size)
{
	struct scram_verifier verifier;
	char *text = fuzz_text(data, size);

	if (scram_verifier_parse(text, &verifier)) {
		g_assert_cmpuint(verifier.iterations, >, 0);
		g_assert_cmpuint(verifier.salt_len, <=, sizeof(verifier.salt));
	}
	g_free(text);
}

/* The first line is client-first, the rest client-final. The server's nonce
 * is one that no input holds, so no exchange may succeed. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *end = memchr(data, '\n', size);
	size_t first_len = end ? (size_t)(end - data) : size;
	struct scram_verifier verifier;
	struct scram_server server;
	GError *error = NULL;
	char *reply = NULL;

	check_verifier(data, size);
	g_assert_true(scram_verifier_parse(VERIFIER, &verifier));
	scram_server_init(&server, &verifier, "user", "kz8W!Jq#Yp0vTn3$");
	if (!scram_server_first(&server, (const char *)data, first_len, &reply,
				&error))
		fuzz_check_error(g_steal_pointer(&error));
	g_free(reply);
	if (end) {
		g_assert_false(scram_server_final(
			&server, (const char *)end + 1, size - first_len - 1,
			&reply, &error));
		fuzz_check_error(error);
	}
	scram_server_finish(&server);
	return 0;
}
