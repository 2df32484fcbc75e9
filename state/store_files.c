#include "store_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static int posix_open(const char *path, int flags, mode_t mode, void *data)
{
	return open(path, flags | O_CLOEXEC, mode);
}

static ssize_t posix_pread(int fd, void *buf, size_t len, off_t off, void *data)
{
	return pread(fd, buf, len, off);
}

static ssize_t posix_pwrite(int fd, const void *buf, size_t len, off_t off,
			    void *data)
{
	return pwrite(fd, buf, len, off);
}

static int posix_fsync(int fd, void *data)
{
	return fsync(fd);
}

static int posix_mkdir(const char *path, mode_t mode, void *data)
{
	return mkdir(path, mode);
}

static int posix_rename(const char *from, const char *to, void *data)
{
	return rename(from, to);
}

static int posix_unlink(const char *path, void *data)
{
	return unlink(path);
}

static int posix_close(int fd, void *data)
{
	return close(fd);
}

static off_t posix_size(int fd, void *data)
{
	struct stat st;

	return fstat(fd, &st) ? -1 : st.st_size;
}

const struct store_file_ops store_posix_file_ops = {
	.open = posix_open,
	.pread = posix_pread,
	.pwrite = posix_pwrite,
	.fsync = posix_fsync,
	.mkdir = posix_mkdir,
	.rename = posix_rename,
	.unlink = posix_unlink,
	.close = posix_close,
	.size = posix_size,
};

bool store_io_error(GError **error, const char *action, const char *name)
{
	int err = errno;

	g_set_error(error, CW_ERROR, CW_ERROR_IO,
		    "%s %s: %s; free space or replace the disk, then restart",
		    action, name, g_strerror(err));
	return false;
}

bool store_corruption_error(GError **error, const char *name,
			    const char *problem)
{
	g_set_error(error, CW_ERROR, CW_ERROR_CORRUPT,
		    "%s: %s; move the data folder away and add this VM to the "
		    "group under a new control id",
		    name, problem);
	return false;
}

static bool sync_parent(struct store_files *files, GError **error)
{
	g_autofree char *parent = g_path_get_dirname(files->folder);
	int fd = files->ops->open(parent, O_RDONLY | O_DIRECTORY, 0,
				  files->data);
	bool ok;

	if (fd < 0)
		return store_io_error(error, "opening", parent);
	ok = !files->ops->fsync(fd, files->data) ||
	     store_io_error(error, "syncing", parent);
	files->ops->close(fd, files->data);
	return ok;
}

bool store_files_open(struct store_files *files, GError **error)
{
	const struct store_file_ops *ops = files->ops;

	files->folder_fd = -1;
	if (ops->mkdir(files->folder, 0700, files->data) && errno != EEXIST)
		return store_io_error(error, "creating", files->folder);
	if (!sync_parent(files, error))
		return false;
	files->folder_fd = ops->open(files->folder, O_RDONLY | O_DIRECTORY, 0,
				     files->data);
	if (files->folder_fd < 0)
		return store_io_error(error, "opening", files->folder);
	/* A rename shortly before a crash may not be durable yet. */
	if (ops->fsync(files->folder_fd, files->data))
		return store_io_error(error, "syncing", files->folder);
	return true;
}

void store_files_finish(struct store_files *files)
{
	if (files->folder_fd >= 0)
		files->ops->close(files->folder_fd, files->data);
	g_free(files->folder);
}

static bool read_all(struct store_files *files, int fd, GByteArray *out)
{
	off_t size = files->ops->size(fd, files->data);
	off_t offset = 0;

	if (size < 0 || size > G_MAXINT32)
		return false;
	g_byte_array_set_size(out, (guint)size);
	while (offset < size) {
		ssize_t n = files->ops->pread(fd, out->data + offset,
					      (size_t)(size - offset), offset,
					      files->data);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		offset += n;
	}
	return true;
}

GByteArray *store_files_read(struct store_files *files, const char *name,
			     GError **error)
{
	g_autofree char *path = g_build_filename(files->folder, name, NULL);
	int fd = files->ops->open(path, O_RDONLY, 0, files->data);
	GByteArray *out;
	bool ok;

	if (fd < 0) {
		if (errno != ENOENT)
			store_io_error(error, "opening", path);
		return NULL;
	}
	out = g_byte_array_new();
	errno = EIO;
	ok = read_all(files, fd, out);
	if (!ok) {
		store_io_error(error, "reading", path);
		g_byte_array_free(out, TRUE);
	}
	files->ops->close(fd, files->data);
	return ok ? out : NULL;
}

int store_files_create(struct store_files *files, const char *name,
		       GError **error)
{
	g_autofree char *path =
		g_strdup_printf("%s/%s.new", files->folder, name);
	int fd;

	/*
	 * A file left over from an earlier attempt is not reused, since the
	 * kernel may still write back its old pages.
	 */
	if (files->ops->unlink(path, files->data) && errno != ENOENT) {
		store_io_error(error, "removing", path);
		return -1;
	}
	fd = files->ops->open(path, O_RDWR | O_CREAT | O_EXCL, 0600,
			      files->data);
	if (fd < 0)
		store_io_error(error, "creating", path);
	return fd;
}

bool store_files_write(struct store_files *files, int fd, const void *bytes,
		       size_t len, off_t offset, GError **error)
{
	const uint8_t *next = bytes;

	while (len) {
		ssize_t n =
			files->ops->pwrite(fd, next, len, offset, files->data);

		if (n < 0 && errno == EINTR)
			continue;
		if (!n)
			errno = ENOSPC;
		if (n <= 0)
			return store_io_error(error, "writing to",
					      files->folder);
		next += n;
		offset += n;
		len -= (size_t)n;
	}
	return true;
}

bool store_files_publish(struct store_files *files, int fd, const char *name,
			 GError **error)
{
	g_autofree char *temporary =
		g_strdup_printf("%s/%s.new", files->folder, name);
	g_autofree char *path = g_strdup_printf("%s/%s", files->folder, name);

	if (files->ops->fsync(fd, files->data))
		return store_io_error(error, "syncing", temporary);
	if (files->ops->rename(temporary, path, files->data))
		return store_io_error(error, "renaming", temporary);
	if (files->ops->fsync(files->folder_fd, files->data))
		return store_io_error(error, "syncing", files->folder);
	return true;
}

bool store_files_replace(struct store_files *files, const char *name,
			 const GByteArray *bytes, GError **error)
{
	int fd = store_files_create(files, name, error);
	bool ok;

	if (fd < 0)
		return false;
	ok = store_files_write(files, fd, bytes->data, bytes->len, 0, error) &&
	     store_files_publish(files, fd, name, error);
	files->ops->close(fd, files->data);
	return ok;
}

bool store_replace_file(const char *folder, const char *name, const char *text,
			GError **error)
{
	struct store_files files = { .ops = &store_posix_file_ops,
				     .folder = g_strdup(folder) };
	GByteArray *bytes = g_byte_array_new();
	bool ok;

	g_byte_array_append(bytes, (const guint8 *)text, strlen(text));
	ok = store_files_open(&files, error) &&
	     store_files_replace(&files, name, bytes, error);
	g_byte_array_free(bytes, TRUE);
	store_files_finish(&files);
	return ok;
}
