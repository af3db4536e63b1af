#ifndef QUETZALLOFT_JSON_H
#define QUETZALLOFT_JSON_H

/**
 * DOC: Parsing of JSON, validation of JSON objects against tables of members,
 * and merge patches.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * enum ql_json_type - JSON type of a member and C type of its field.
 * @QL_JSON_STRING: a string, stored in a char array in the struct
 * @QL_JSON_UINT: an integer, stored in a uint64_t
 * @QL_JSON_REAL: a number, stored in a double
 * @QL_JSON_DURATION: an integer in milliseconds or a text such as "2.5s", see
 *                    quetzalloft/duration.h, stored in a uint64_t in
 *                    milliseconds
 * @QL_JSON_BOOL: a boolean, stored in a bool
 * @QL_JSON_OBJECT: an object, stored as a borrowed json_t pointer
 * @QL_JSON_ARRAY: an array, stored as a borrowed json_t pointer
 */
typedef enum ql_json_type {
	QL_JSON_STRING,
	QL_JSON_UINT,
	QL_JSON_REAL,
	QL_JSON_DURATION,
	QL_JSON_BOOL,
	QL_JSON_OBJECT,
	QL_JSON_ARRAY,
} ql_json_type_t;

/**
 * struct ql_json_member - A member that an object may have.
 * @key: key of the member
 * @type: type of the value
 * @required: whether an object without the member is rejected
 * @offset: offset in bytes of the field in the struct
 * @size: bytes of the char array of a string with NUL; else 0
 * @min: lowest allowed number, or lowest length of a string in bytes
 * @max: highest allowed number; unused for other types
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

/*
 * Initializers of a &struct ql_json_member. The key of the member is the name
 * of the field @field_ of the struct @type_.
 */
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
#define QL_MEMBER_DURATION(type_, field_, required_, min_, max_)               \
	{                                                                      \
#field_, QL_JSON_DURATION, required_, offsetof(type_, field_), \
			0, min_, max_                                          \
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
 * ql_json_read() - Validate an object and copy its members to a struct.
 * @out: the struct; fields of absent members keep their values. After a failure
 *       some fields may have been set.
 * @object: the object; NULL fails with QL_E_TYPE
 * @path: path of the object in its document, for error messages
 * @members: the members that the object may have
 * @n_members: number of @members
 * @error: set to the detail of a failure, or NULL: the path, the value found
 *         and the values allowed
 *
 * Return: 0; QL_E_TYPE for a value of another type; QL_E_UNKNOWN_KEY for a
 * member that is not in @members; QL_E_MISSING_KEY without a required member;
 * QL_E_RANGE for a number or the length of a string outside its range, or a
 * string that contains NUL.
 */
int ql_json_read(void *out, json_t *object, const char *path,
		 const ql_json_member_t *members, size_t n_members,
		 GError **error);

/** Most arrays and objects inside each other in a parsed text. */
#define QL_JSON_DEPTH_MAX 64u

/**
 * ql_json_parse() - Parse an object or an array. Duplicate keys are an error.
 * @out: set to the value, which the caller releases with json_decref(); NULL
 *       after a failure
 * @text: the text, UTF-8; needs no NUL at the end
 * @length: length of @text in bytes
 * @error: set to the line, the column and the detail of a failure, or NULL
 *
 * Return: 0; QL_E_INVALID; or QL_E_RANGE above QL_JSON_DEPTH_MAX.
 */
int ql_json_parse(json_t **out, const char *text, size_t length,
		  GError **error);

/**
 * ql_json_load_file() - Parse a file; see ql_json_parse().
 * @out: set to the value, which the caller releases with json_decref(); NULL
 *       after a failure
 * @path: path of the file
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0; QL_E_IO if the file cannot be read; QL_E_INVALID; or QL_E_RANGE.
 */
int ql_json_load_file(json_t **out, const char *path, GError **error);

/**
 * ql_json_apply_merge_patch() - Apply an RFC 7396 merge patch.
 * @target: the value to patch, which is not changed; may be NULL
 * @patch: the merge patch
 *
 * Return: the patched value, a new reference.
 */
json_t *ql_json_apply_merge_patch(json_t *target, json_t *patch);

/**
 * ql_json_merge_into() - Apply an RFC 7396 merge patch in place.
 * @target: the object to patch
 * @patch: the merge patch, an object
 */
void ql_json_merge_into(json_t *target, json_t *patch);

/**
 * ql_json_create_merge_patch() - Create the RFC 7396 merge patch that turns one
 * value into another.
 * @from: the value before
 * @to: the value after; it must not contain null, which a merge patch cannot
 *      express
 *
 * Return: the merge patch, a new reference.
 */
json_t *ql_json_create_merge_patch(json_t *from, json_t *to);

/**
 * ql_json_dump() - Format a value as canonical text: sorted keys, no white
 * space.
 * @value: the value
 *
 * Return: the text, which the caller frees with free().
 */
char *ql_json_dump(const json_t *value);

G_END_DECLS

#endif
