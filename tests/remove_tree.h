#ifndef REMOVE_TREE_H
#define REMOVE_TREE_H

#include <glib.h>
#include <glib/gstdio.h>

/** remove_tree() - delete a file, or a folder with its content */
static inline void remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *child = g_build_filename(path, name, NULL);

		remove_tree(child);
	}
	if (dir)
		g_dir_close(dir);
	g_remove(path);
}

#endif
