#ifndef SCRAM_H
#define SCRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677).
 *
 * Works from stored verifiers in PostgreSQL's text form
 * "SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY"; no password is kept.
 * The user name inside the exchange is ignored, as PostgreSQL does, since
 * libpq sends an empty one and the start-up packet names the user.
 */

#define SCRAM_KEY_LEN 32
#define SCRAM_MECHANISM "SCRAM-SHA-256"

struct scram_verifier {
	unsigned iterations;
	uint8_t salt[64];
	size_t salt_len;
	uint8_t stored_key[SCRAM_KEY_LEN];
	uint8_t server_key[SCRAM_KEY_LEN];
};

bool scram_verifier_parse(const char *text, struct scram_verifier *verifier);

/** scram_verifier_make() - verifier text for a password; caller frees */
char *scram_verifier_make(const char *password, const uint8_t *salt,
			  size_t salt_len, unsigned iterations);

struct scram_server {
	struct scram_verifier verifier;
	bool known_user;
	char *client_first_bare;
	char *server_first;
	char *nonce;
	char gs2_flag;
	int step;
};

/**
 * scram_set_mock_key() - secret from which salts of unknown users are made
 *
 * Call it once before the first exchange, with a secret that all daemons of
 * a deployment share; otherwise a caller can compute these salts and tell
 * which users exist. At most 64 bytes are used.
 */
void scram_set_mock_key(const void *key, size_t len);

/**
 * scram_server_init() - start an exchange
 * @verifier: NULL for an unknown user: the exchange then runs to its end
 *            with a salt derived from @user and fails, so that it does not
 *            tell which users exist
 * @nonce: printable server nonce without commas
 */
void scram_server_init(struct scram_server *server,
		       const struct scram_verifier *verifier, const char *user,
		       const char *nonce);
void scram_server_finish(struct scram_server *server);

/** scram_server_first() - answer to client-first; caller frees @reply */
bool scram_server_first(struct scram_server *server, const char *message,
			size_t len, char **reply, GError **error);
/** scram_server_final() - check the proof; caller frees @reply */
bool scram_server_final(struct scram_server *server, const char *message,
			size_t len, char **reply, GError **error);

#endif
