#ifndef FAKE_FILES_H
#define FAKE_FILES_H

#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>

/*
 * In-memory implementation of store_file_ops. A write is durable once its file
 * has been synced, a directory change once the folder has been synced. A power
 * failure keeps a random subset of the writes that were not synced, one of them
 * in part, and a random number of the first directory changes.
 */

#define FAKE_FDS 64

/* A write that was not synced. */
struct fake_write {
	off_t at;
	GBytes *bytes;
};

/*
 * struct fake_file - a file
 * @durable: content that survives a power failure
 * @content: current content
 * @writes: struct fake_write since the last sync
 */
struct fake_file {
	GByteArray *durable;
	GByteArray *content;
	GArray *writes;
};

/* A directory change: @name now refers to @file, or to no file if NULL. */
struct fake_dir_change {
	char *name;
	struct fake_file *file;
};

/**
 * struct fake_files - the folder and the faults to inject
 * @files: all files ever created, struct fake_file
 * @names: path to struct fake_file, current state
 * @durable_names: path to struct fake_file, state of the last sync
 * @changes: struct fake_dir_change since the last sync of the folder
 * @fd: open files by file descriptor
 * @ops_until_power_failure: modifying operations before all fail; -1: never
 * @bytes_left: bytes that may still be written; -1 for no limit
 * @syncs_until_error: syncs that succeed before one fails; -1 for no fault
 * @short_writes: whether a write stores only part of its bytes
 */
struct fake_files {
	GPtrArray *files;
	GHashTable *names;
	GHashTable *durable_names;
	GArray *changes;
	struct fake_file *fd[FAKE_FDS];
	GRand *rand;
	int ops_until_power_failure;
	long bytes_left;
	int syncs_until_error;
	bool short_writes;
};

static struct fake_file fake_folder;

static inline void fake_clear_write(void *p)
{
	g_bytes_unref(((struct fake_write *)p)->bytes);
}

static inline void fake_free_file(void *p)
{
	struct fake_file *f = p;

	g_byte_array_free(f->durable, TRUE);
	g_byte_array_free(f->content, TRUE);
	g_array_free(f->writes, TRUE);
	g_free(f);
}

static inline void fake_clear_dir_change(void *p)
{
	g_free(((struct fake_dir_change *)p)->name);
}

static inline struct fake_files *fake_new(uint32_t seed)
{
	struct fake_files *fs = g_new0(struct fake_files, 1);

	fs->files = g_ptr_array_new_with_free_func(fake_free_file);
	fs->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fs->durable_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fs->changes = g_array_new(FALSE, FALSE, sizeof(struct fake_dir_change));
	g_array_set_clear_func(fs->changes, fake_clear_dir_change);
	fs->rand = g_rand_new_with_seed(seed);
	fs->ops_until_power_failure = fs->syncs_until_error = -1;
	fs->bytes_left = -1;
	return fs;
}

static inline void fake_free(struct fake_files *fs)
{
	g_ptr_array_free(fs->files, TRUE);
	g_hash_table_destroy(fs->names);
	g_hash_table_destroy(fs->durable_names);
	g_array_free(fs->changes, TRUE);
	g_rand_free(fs->rand);
	g_free(fs);
}

/* Counts a modifying operation; returns false after the power failure. */
static inline bool fake_begin_change(struct fake_files *fs)
{
	errno = EIO;
	if (fs->ops_until_power_failure < 0)
		return true;
	if (!fs->ops_until_power_failure)
		return false;
	fs->ops_until_power_failure--;
	return true;
}

static inline void fake_set_name(GHashTable *names, const char *name,
				 struct fake_file *file)
{
	if (file)
		g_hash_table_insert(names, g_strdup(name), file);
	else
		g_hash_table_remove(names, name);
}

static inline void fake_add_dir_change(struct fake_files *fs, const char *name,
				       struct fake_file *file)
{
	struct fake_dir_change change = { g_strdup(name), file };

	fake_set_name(fs->names, name, file);
	g_array_append_val(fs->changes, change);
}

static inline int fake_open(const char *path, int flags, mode_t mode,
			    void *data)
{
	struct fake_files *fs = data;
	struct fake_file *file;
	int fd;

	for (fd = 0; fs->fd[fd]; fd++)
		;
	if (flags & O_DIRECTORY) {
		fs->fd[fd] = &fake_folder;
		return fd;
	}
	file = g_hash_table_lookup(fs->names, path);
	if (!file && !(flags & O_CREAT)) {
		errno = ENOENT;
		return -1;
	}
	if (file && (flags & O_EXCL)) {
		errno = EEXIST;
		return -1;
	}
	if (!file) {
		if (!fake_begin_change(fs))
			return -1;
		file = g_new0(struct fake_file, 1);
		file->durable = g_byte_array_new();
		file->content = g_byte_array_new();
		file->writes =
			g_array_new(FALSE, FALSE, sizeof(struct fake_write));
		g_array_set_clear_func(file->writes, fake_clear_write);
		g_ptr_array_add(fs->files, file);
		fake_add_dir_change(fs, path, file);
	}
	fs->fd[fd] = file;
	return fd;
}

static inline ssize_t fake_pread(int fd, void *buf, size_t len, off_t off,
				 void *data)
{
	GByteArray *c = ((struct fake_files *)data)->fd[fd]->content;

	if (off >= (off_t)c->len)
		return 0;
	len = MIN(len, c->len - (size_t)off);
	memcpy(buf, c->data + off, len);
	return (ssize_t)len;
}

static inline void fake_copy_bytes(GByteArray *content, off_t offset,
				   const void *bytes, size_t len)
{
	guint old_len = content->len;

	if (content->len < (guint)offset + len)
		g_byte_array_set_size(content, (guint)offset + (guint)len);
	if (old_len < (guint)offset)
		memset(content->data + old_len, 0, (guint)offset - old_len);
	if (len)
		memcpy(content->data + offset, bytes, len);
}

static inline ssize_t fake_pwrite(int fd, const void *buf, size_t len,
				  off_t off, void *data)
{
	struct fake_files *fs = data;
	struct fake_file *file = fs->fd[fd];
	struct fake_write *w;

	if (!fake_begin_change(fs))
		return -1;
	if (fs->short_writes && len > 1)
		len = (size_t)g_rand_int_range(fs->rand, 1, (int)len);
	if (fs->bytes_left >= 0) {
		len = MIN(len, (size_t)fs->bytes_left);
		fs->bytes_left -= (long)len;
		errno = ENOSPC;
		if (!len)
			return -1;
	}
	g_array_set_size(file->writes, file->writes->len + 1);
	w = &g_array_index(file->writes, struct fake_write,
			   file->writes->len - 1);
	w->at = off;
	w->bytes = g_bytes_new(buf, len);
	fake_copy_bytes(file->content, off, buf, len);
	return (ssize_t)len;
}

static inline int fake_fsync(int fd, void *data)
{
	struct fake_files *fs = data;
	struct fake_file *file = fs->fd[fd];
	guint i;

	if (!fake_begin_change(fs))
		return -1;
	if (!fs->syncs_until_error--)
		return -1;
	if (file != &fake_folder) {
		g_byte_array_set_size(file->durable, 0);
		fake_copy_bytes(file->durable, 0, file->content->data,
				file->content->len);
		g_array_set_size(file->writes, 0);
		return 0;
	}
	for (i = 0; i < fs->changes->len; i++) {
		struct fake_dir_change *n =
			&g_array_index(fs->changes, struct fake_dir_change, i);

		fake_set_name(fs->durable_names, n->name, n->file);
	}
	g_array_set_size(fs->changes, 0);
	return 0;
}

static inline int fake_mkdir(const char *path, mode_t mode, void *data)
{
	return 0;
}

static inline int fake_rename(const char *from, const char *to, void *data)
{
	struct fake_files *fs = data;
	struct fake_file *file = g_hash_table_lookup(fs->names, from);

	if (!fake_begin_change(fs))
		return -1;
	fake_add_dir_change(fs, to, file);
	fake_add_dir_change(fs, from, NULL);
	return 0;
}

static inline int fake_unlink(const char *path, void *data)
{
	struct fake_files *fs = data;

	if (!g_hash_table_lookup(fs->names, path)) {
		errno = ENOENT;
		return -1;
	}
	if (!fake_begin_change(fs))
		return -1;
	fake_add_dir_change(fs, path, NULL);
	return 0;
}

static inline int fake_close(int fd, void *data)
{
	((struct fake_files *)data)->fd[fd] = NULL;
	return 0;
}

static inline off_t fake_size(int fd, void *data)
{
	return ((struct fake_files *)data)->fd[fd]->content->len;
}

static const struct store_file_ops fake_ops = {
	.open = fake_open,
	.pread = fake_pread,
	.pwrite = fake_pwrite,
	.fsync = fake_fsync,
	.mkdir = fake_mkdir,
	.rename = fake_rename,
	.unlink = fake_unlink,
	.close = fake_close,
	.size = fake_size,
};

/* Applies a power failure to one file. */
static inline void fake_power_failure_file(struct fake_files *fs,
					   struct fake_file *f)
{
	guint torn = f->writes->len ?
			     (guint)g_rand_int_range(fs->rand, 0,
						     (int)f->writes->len) :
			     0;
	guint i;

	for (i = 0; i < f->writes->len; i++) {
		struct fake_write *w =
			&g_array_index(f->writes, struct fake_write, i);
		gsize len;
		const void *bytes = g_bytes_get_data(w->bytes, &len);

		if (i == torn)
			len = (gsize)g_rand_int_range(fs->rand, 0,
						      (int)len + 1);
		else if (g_rand_boolean(fs->rand))
			continue;
		fake_copy_bytes(f->durable, w->at, bytes, len);
	}
	g_array_set_size(f->writes, 0);
	g_byte_array_set_size(f->content, 0);
	fake_copy_bytes(f->content, 0, f->durable->data, f->durable->len);
}

/* Simulates a power failure and a restart, and clears the faults to inject. */
static inline void fake_power_failure(struct fake_files *fs)
{
	guint keep =
		(guint)g_rand_int_range(fs->rand, 0, (int)fs->changes->len + 1);
	GHashTableIter it;
	void *name;
	void *file;
	guint i;

	for (i = 0; i < keep; i++) {
		struct fake_dir_change *n =
			&g_array_index(fs->changes, struct fake_dir_change, i);

		fake_set_name(fs->durable_names, n->name, n->file);
	}
	g_array_set_size(fs->changes, 0);
	g_hash_table_remove_all(fs->names);
	g_hash_table_iter_init(&it, fs->durable_names);
	while (g_hash_table_iter_next(&it, &name, &file))
		fake_set_name(fs->names, name, file);
	for (i = 0; i < fs->files->len; i++)
		fake_power_failure_file(fs, fs->files->pdata[i]);
	memset(fs->fd, 0, sizeof(fs->fd));
	fs->ops_until_power_failure = fs->syncs_until_error = -1;
	fs->bytes_left = -1;
	fs->short_writes = false;
}

#endif
