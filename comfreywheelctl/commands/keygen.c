#include "ctl.h"
#include "error.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

/* Size of a Z85 key with its terminating NUL. */
#define KEY_TEXT_SIZE 41

/* Does not overwrite an existing key, which processes may be using. */
static bool write_key(const char *file, const char *key, GError **error)
{
	char line[KEY_TEXT_SIZE + 1];
	int len = g_snprintf(line, sizeof(line), "%s\n", key);
	int fd = open(file, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
	bool ok = fd >= 0 && write(fd, line, len) == len && !fsync(fd);

	if (!ok)
		g_set_error(error, CW_ERROR, CW_ERROR_IO,
			    "%s: cannot write the key (%s); name a new file "
			    "in a directory that you may write to",
			    file, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return ok;
}

static int keygen(struct ctl *ctl, const struct arg_file *public_file,
		  const struct arg_file *secret_file)
{
	char public_key[KEY_TEXT_SIZE], secret_key[KEY_TEXT_SIZE];
	GError *error = NULL;

	if (zmq_curve_keypair(public_key, secret_key))
		return ctl_fail(ctl, CTL_UNAVAILABLE,
				"ZeroMQ was built without CURVE; install a "
				"libzmq with libsodium");
	if (secret_file->count) {
		if (!write_key(public_file->filename[0], public_key, &error) ||
		    !write_key(secret_file->filename[0], secret_key, &error))
			return ctl_fail_gerror(ctl, CTL_REFUSED, error);
		return CTL_OK;
	}
	if (ctl->json)
		ctl_print(ctl, json_pack("{s:s, s:s}", "public_key", public_key,
					 "secret_key", secret_key));
	else
		fprintf(ctl->streams->out, "public_key = %s\nsecret_key = %s\n",
			public_key, secret_key);
	return CTL_OK;
}

int command_keygen(struct ctl *ctl, int argc, char **argv)
{
	struct arg_file *public_file = arg_file0(
		NULL, "public-key-file", "FILE", "new file for the public key");
	struct arg_file *secret_file = arg_file0(
		NULL, "secret-key-file", "FILE", "new file for the secret key");
	struct ctl_arg_table table;
	int code;

	ctl_arg_table_init(&table, CTL_TARGET_NONE);
	ctl_arg_table_add(&table, public_file);
	ctl_arg_table_add(&table, secret_file);
	code = ctl_arg_table_parse(&table, ctl, argc, argv);
	if (code < 0 && public_file->count != secret_file->count)
		code = ctl_fail(ctl, CTL_USAGE,
				"one key file is missing; give both, or none "
				"to print the keys");
	if (code < 0)
		code = keygen(ctl, public_file, secret_file);
	ctl_arg_table_finish(&table);
	return code;
}
