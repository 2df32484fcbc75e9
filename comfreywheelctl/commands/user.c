#include "ctl.h"
#include "scram.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <string.h>

#define SALT_LEN 16
#define DEFAULT_ITERATIONS 4096
#define PASSWORD_BUFFER_SIZE 1024

static bool read_password(struct ctl *ctl, char *password)
{
	if (!fgets(password, PASSWORD_BUFFER_SIZE, ctl->streams->in))
		return false;
	if (!strchr(password, '\n') && !feof(ctl->streams->in))
		return false;
	password[strcspn(password, "\r\n")] = '\0';
	return *password != '\0';
}

static int print_user_line(struct ctl *ctl, const char *name, int iterations)
{
	char password[PASSWORD_BUFFER_SIZE];
	uint8_t salt[SALT_LEN];
	char *verifier;

	if (!*name || strpbrk(name, ":\r\n"))
		return ctl_fail(ctl, CTL_REFUSED,
				"a user name must not be empty or contain a "
				"colon; choose another");
	if (iterations < DEFAULT_ITERATIONS)
		return ctl_fail(
			ctl, CTL_REFUSED,
			"a hash of fewer than %d iterations is too easy "
			"to guess; give more",
			DEFAULT_ITERATIONS);
	if (!read_password(ctl, password))
		return ctl_fail(ctl, CTL_REFUSED,
				"standard input has no line of 1 to %d bytes; "
				"write the password to it",
				PASSWORD_BUFFER_SIZE - 2);
	if (RAND_bytes(salt, sizeof(salt)) != 1)
		return ctl_fail(ctl, CTL_UNAVAILABLE,
				"cannot get random bytes; check the system's "
				"random source");
	verifier =
		scram_verifier_make(password, salt, sizeof(salt), iterations);
	OPENSSL_cleanse(password, sizeof(password));
	if (ctl->json)
		ctl_print(ctl, json_pack("{s:s, s:s}", "user", name, "verifier",
					 verifier));
	else
		fprintf(ctl->streams->out, "%s:%s\n", name, verifier);
	g_free(verifier);
	return CTL_OK;
}

int command_user(struct ctl *ctl, int argc, char **argv)
{
	struct arg_int *iterations =
		arg_int0(NULL, "iterations", "N",
			 "iterations of the password hash (4096)");
	struct arg_str *name = arg_str1(NULL, NULL, "USER", NULL);
	struct ctl_arg_table table;
	int code;

	iterations->ival[0] = DEFAULT_ITERATIONS;
	ctl_arg_table_init(&table, CTL_TARGET_NONE);
	ctl_arg_table_add(&table, iterations);
	ctl_arg_table_add(&table, name);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0)
		code = print_user_line(ctl, name->sval[0], iterations->ival[0]);
	ctl_arg_table_finish(&table);
	return code;
}
