#ifndef SCRAM_H
#define SCRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677).
 *
 * Authenticates against stored verifiers in PostgreSQL's text form
 * "SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY"; passwords are not
 * stored. As in PostgreSQL, the user name in the exchange is ignored: libpq
 * sends an empty one, and the start-up packet names the user.
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

/** scram_verifier_make() - derive a verifier; to be freed with g_free() */
char *scram_verifier_make(const char *password, const uint8_t *salt,
			  size_t salt_len, unsigned iterations);

/**
 * struct scram_server - state of one authentication exchange
 * @known_user: whether the user exists
 * @client_first_bare: client-first message without its GS2 header
 * @server_first: server-first message
 * @nonce: server nonce, after the first step the combined nonce
 * @gs2_flag: channel binding flag of the client, 'n' or 'y'
 * @step: next expected message, an enum scram_step
 */
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
 * scram_set_mock_key() - set the key that derives salts for unknown users
 *
 * To be called once before the first exchange, with a secret shared by all
 * daemons of a deployment. Without a secret a caller could compute these salts
 * and find out which users exist. At most 64 bytes are used.
 */
void scram_set_mock_key(const void *key, size_t len);

/**
 * scram_server_init() - start an exchange
 * @verifier: NULL for an unknown user: the exchange then uses a salt derived
 *            from @user and fails at its last step, so that it does not
 *            reveal which users exist
 * @nonce: printable server nonce without commas
 */
void scram_server_init(struct scram_server *server,
		       const struct scram_verifier *verifier, const char *user,
		       const char *nonce);
void scram_server_finish(struct scram_server *server);

/**
 * scram_server_first() - process the client-first message
 * @reply: server-first message, to be freed with g_free()
 */
bool scram_server_first(struct scram_server *server, const char *message,
			size_t len, char **reply, GError **error);
/**
 * scram_server_final() - process the client-final message, verify the proof
 * @reply: server-final message, to be freed with g_free()
 */
bool scram_server_final(struct scram_server *server, const char *message,
			size_t len, char **reply, GError **error);

#endif
