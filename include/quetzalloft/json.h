#ifndef QUETZALLOFT_JSON_H
#define QUETZALLOFT_JSON_H

/**
 * DOC: Checked reading of JSON objects into C structs, driven by tables.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * enum ql_json_type - The type of a member and of the field that takes it.
 * @QL_JSON_STRING: a char array inside the struct
 * @QL_JSON_UINT: a uint64_t
 * @QL_JSON_REAL: a double
 * @QL_JSON_BOOL: a bool
 * @QL_JSON_OBJECT: a borrowed json_t pointer
 * @QL_JSON_ARRAY: a borrowed json_t pointer
 */
typedef enum ql_json_type {
	QL_JSON_STRING,
	QL_JSON_UINT,
	QL_JSON_REAL,
	QL_JSON_BOOL,
	QL_JSON_OBJECT,
	QL_JSON_ARRAY,
} ql_json_type_t;

/**
 * struct ql_json_member - One member that an object may have.
 * @key: its name
 * @type: its type
 * @required: whether it must be there
 * @offset: where the value goes in the struct
 * @size: bytes of the char array of a string
 * @min: least allowed number, or least length of a string
 * @max: largest allowed number
 */
typedef struct ql_json_member {
	const char *key;
	ql_json_type_t type;
	bool required;
	size_t offset;
	size_t size;
	double min;
	double max;
} ql_json_member_t;

#define QL_MEMBER_STRING(type_, field_, required_, min_)                     \
	{                                                                    \
#field_, QL_JSON_STRING, required_, offsetof(type_, field_), \
			sizeof(((type_ *)0)->field_), min_, 0                \
	}
#define QL_MEMBER_UINT(type_, field_, required_, min_, max_)                  \
	{                                                                     \
#field_, QL_JSON_UINT, required_, offsetof(type_, field_), 0, \
			min_, max_                                            \
	}
#define QL_MEMBER_REAL(type_, field_, required_, min_, max_)                  \
	{                                                                     \
#field_, QL_JSON_REAL, required_, offsetof(type_, field_), 0, \
			min_, max_                                            \
	}
#define QL_MEMBER_BOOL(type_, field_, required_)                              \
	{                                                                     \
#field_, QL_JSON_BOOL, required_, offsetof(type_, field_), 0, \
			0, 0                                                  \
	}
#define QL_MEMBER_OBJECT(type_, field_, required_)                           \
	{                                                                    \
#field_, QL_JSON_OBJECT, required_, offsetof(type_, field_), \
			0, 0, 0                                              \
	}
#define QL_MEMBER_ARRAY(type_, field_, required_)                              \
	{                                                                      \
#field_, QL_JSON_ARRAY, required_, offsetof(type_, field_), 0, \
			0, 0                                                   \
	}

/**
 * ql_json_read() - Read an object into a struct.
 * @out: the struct; fields of absent members keep their values
 * @object: what to read
 * @path: where the object stands in its file, for errors
 * @members: the members that are defined
 * @n_members: their number
 * @error: detail of a failure
 *
 * Return: 0, QL_E_TYPE, QL_E_UNKNOWN_KEY, QL_E_MISSING_KEY or QL_E_RANGE. The
 * detail names the path, what was found and what is allowed.
 */
int ql_json_read(void *out, json_t *object, const char *path,
		 const ql_json_member_t *members, size_t n_members,
		 GError **error);

/**
 * ql_json_parse() - Parse a text, refusing duplicate keys.
 * @out: the value; the caller drops it with json_decref()
 * @text: the text
 * @length: its bytes
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_INVALID with the line and column.
 */
int ql_json_parse(json_t **out, const char *text, size_t length,
		  GError **error);

/**
 * ql_json_load_file() - Parse a file.
 * @out: the value; the caller drops it with json_decref()
 * @path: the file
 * @error: detail of a failure
 *
 * Return: 0, QL_E_IO or QL_E_INVALID.
 */
int ql_json_load_file(json_t **out, const char *path, GError **error);

/**
 * ql_json_apply_merge_patch() - Apply an RFC 7396 merge patch.
 * @target: the value to patch; not changed
 * @patch: the patch
 *
 * Return: the patched value as a new reference.
 */
json_t *ql_json_apply_merge_patch(json_t *target, json_t *patch);

/**
 * ql_json_create_merge_patch() - The merge patch that leads from one value to
 * another.
 * @from: the value before
 * @to: the value after; it holds no null, which a merge patch cannot express
 *
 * Return: the patch as a new reference.
 */
json_t *ql_json_create_merge_patch(json_t *from, json_t *to);

/**
 * ql_json_dump() - The canonical text of a value: sorted keys, no white space.
 * @value: the value
 *
 * Return: a string to free with free().
 */
char *ql_json_dump(const json_t *value);

G_END_DECLS

#endif
