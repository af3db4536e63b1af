#ifndef QL_STORE_FILE_H
#define QL_STORE_FILE_H

/**
 * DOC: Whole files that are replaced atomically and last once synced.
 */

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/**
 * ql_file_replace() - Replace a file and sync it and its folder.
 * @folder: the data folder
 * @name: name of the file in it
 * @data: the content
 * @length: its bytes
 * @error: detail of a failure
 *
 * After a crash the file has either the old or the new content.
 *
 * Return: 0 or QL_E_IO.
 */
int ql_file_replace(const char *folder, const char *name, const void *data,
		    size_t length, GError **error);

/**
 * ql_file_read() - Read a whole file.
 * @out: the content and a NUL behind it; freed with g_free()
 * @length: its bytes
 * @folder: the data folder
 * @name: name of the file in it
 * @error: detail of a failure
 *
 * Return: 0, QL_E_NOT_FOUND or QL_E_IO.
 */
int ql_file_read(char **out, size_t *length, const char *folder,
		 const char *name, GError **error);

G_END_DECLS

#endif
