#include "quetzalloft/json.h"
#include "quetzalloft/duration.h"
#include "quetzalloft/error.h"

#include <math.h>
#include <string.h>

static const char *type_name(json_type type)
{
	switch (type) {
	case JSON_OBJECT:
		return "object";
	case JSON_ARRAY:
		return "array";
	case JSON_STRING:
		return "string";
	case JSON_INTEGER:
		return "integer";
	case JSON_REAL:
		return "real";
	case JSON_TRUE:
	case JSON_FALSE:
		return "boolean";
	default:
		return "null";
	}
}

static int wrong_type(GError **error, const char *path,
		      const ql_json_member_t *member, const char *allowed,
		      const json_t *value)
{
	return ql_error_set(error, QL_E_TYPE, "%s.%s: found %s, allowed %s",
			    path, member->key, type_name(json_typeof(value)),
			    allowed);
}

static int read_string(char *out, const json_t *value, const char *path,
		       const ql_json_member_t *member, GError **error)
{
	size_t length;

	if (!json_is_string(value))
		return wrong_type(error, path, member, "a string", value);
	length = json_string_length(value);
	if (length >= member->size || (double)length < member->min ||
	    strlen(json_string_value(value)) != length)
		return ql_error_set(error, QL_E_RANGE,
				    "%s.%s: found %zu bytes, allowed %.0f to "
				    "%zu without NUL",
				    path, member->key, length, member->min,
				    member->size - 1);
	memcpy(out, json_string_value(value), length + 1);
	return 0;
}

static int out_of_range(GError **error, const char *path,
			const ql_json_member_t *member, double found)
{
	return ql_error_set(error, QL_E_RANGE,
			    "%s.%s: found %.15g, allowed %.15g to %.15g", path,
			    member->key, found, member->min, member->max);
}

static int read_uint(uint64_t *out, const json_t *value, const char *path,
		     const ql_json_member_t *member, GError **error)
{
	double number;

	if (!json_is_integer(value))
		return wrong_type(error, path, member, "an integer", value);
	number = (double)json_integer_value(value);
	if (number < member->min || number > member->max)
		return out_of_range(error, path, member, number);
	*out = (uint64_t)json_integer_value(value);
	return 0;
}

static int read_duration(uint64_t *out, const json_t *value, const char *path,
			 const ql_json_member_t *member, GError **error)
{
	uint64_t duration_ms;

	if (!json_is_string(value))
		return read_uint(out, value, path, member, error);
	if (ql_duration_parse(&duration_ms, json_string_value(value)))
		return ql_error_set(error, QL_E_INVALID,
				    "%s.%s: found \"%.32s\", allowed "
				    "milliseconds or a text such as \"2.5s\"",
				    path, member->key,
				    json_string_value(value));
	if ((double)duration_ms < member->min ||
	    (double)duration_ms > member->max)
		return out_of_range(error, path, member, (double)duration_ms);
	*out = duration_ms;
	return 0;
}

static int read_real(double *out, const json_t *value, const char *path,
		     const ql_json_member_t *member, GError **error)
{
	double number;

	if (!json_is_number(value))
		return wrong_type(error, path, member, "a number", value);
	number = json_number_value(value);
	if (!isfinite(number) || number < member->min || number > member->max)
		return out_of_range(error, path, member, number);
	*out = number;
	return 0;
}

static int read_member(void *out, json_t *value, const char *path,
		       const ql_json_member_t *member, GError **error)
{
	void *field = (char *)out + member->offset;

	switch (member->type) {
	case QL_JSON_STRING:
		return read_string(field, value, path, member, error);
	case QL_JSON_UINT:
		return read_uint(field, value, path, member, error);
	case QL_JSON_REAL:
		return read_real(field, value, path, member, error);
	case QL_JSON_DURATION:
		return read_duration(field, value, path, member, error);
	case QL_JSON_BOOL:
		if (!json_is_boolean(value))
			return wrong_type(error, path, member, "a boolean",
					  value);
		*(bool *)field = json_is_true(value);
		return 0;
	case QL_JSON_OBJECT:
		if (!json_is_object(value))
			return wrong_type(error, path, member, "an object",
					  value);
		*(json_t **)field = value;
		return 0;
	case QL_JSON_ARRAY:
		if (!json_is_array(value))
			return wrong_type(error, path, member, "an array",
					  value);
		*(json_t **)field = value;
		return 0;
	}
	return QL_E_TYPE;
}

static const ql_json_member_t *find_member(const ql_json_member_t *members,
					   size_t n_members, const char *key)
{
	size_t i;

	for (i = 0; i < n_members; i++)
		if (!strcmp(members[i].key, key))
			return &members[i];
	return NULL;
}

static int unknown_key(GError **error, const char *path, const char *key,
		       const ql_json_member_t *members, size_t n_members)
{
	GString *allowed = g_string_new(NULL);
	size_t i;

	for (i = 0; i < n_members; i++)
		g_string_append_printf(allowed, "%s%s", i ? ", " : "",
				       members[i].key);
	ql_error_set(error, QL_E_UNKNOWN_KEY,
		     "%s: found unknown key \"%s\", allowed %s", path, key,
		     allowed->str);
	g_string_free(allowed, TRUE);
	return QL_E_UNKNOWN_KEY;
}

int ql_json_read(void *out, json_t *object, const char *path,
		 const ql_json_member_t *members, size_t n_members,
		 GError **error)
{
	const ql_json_member_t *member;
	const char *key;
	json_t *value;
	size_t i;
	int ret;

	if (!json_is_object(object))
		return ql_error_set(error, QL_E_TYPE,
				    "%s: found %s, allowed an object", path,
				    object ? type_name(json_typeof(object))
					   : "nothing");
	json_object_foreach (object, key, value) {
		member = find_member(members, n_members, key);
		if (!member)
			return unknown_key(error, path, key, members,
					   n_members);
		ret = read_member(out, value, path, member, error);
		if (ret)
			return ret;
	}
	for (i = 0; i < n_members; i++)
		if (members[i].required &&
		    !json_object_get(object, members[i].key))
			return ql_error_set(error, QL_E_MISSING_KEY,
					    "%s.%s: required key is missing",
					    path, members[i].key);
	return 0;
}

static int parse_failed(GError **error, const char *source,
			const json_error_t *detail)
{
	return ql_error_set(error, QL_E_INVALID, "%s:%d:%d: %s", source,
			    detail->line, detail->column, detail->text);
}

/*
 * Returns the largest number of arrays and objects inside each other. Brackets
 * in strings do not count; malformed text is left to the parser.
 */
static size_t nesting_depth(const char *text, size_t length)
{
	size_t depth = 0, deepest = 0, i;
	bool in_string = false;

	for (i = 0; i < length; i++) {
		if (in_string) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				in_string = false;
		} else if (text[i] == '"') {
			in_string = true;
		} else if (text[i] == '{' || text[i] == '[') {
			depth++;
			deepest = MAX(deepest, depth);
		} else if ((text[i] == '}' || text[i] == ']') && depth) {
			depth--;
		}
	}
	return deepest;
}

static int parse(json_t **out, const char *source, const char *text,
		 size_t length, GError **error)
{
	size_t depth = nesting_depth(text, length);
	json_error_t detail;

	*out = NULL;
	/* The parser recurses, and the stacks of some threads are small. */
	if (depth > QL_JSON_DEPTH_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: found %zu nested values, allowed at "
				    "most %u",
				    source, depth, QL_JSON_DEPTH_MAX);
	*out = json_loadb(text, length, JSON_REJECT_DUPLICATES, &detail);
	return *out ? 0 : parse_failed(error, source, &detail);
}

int ql_json_parse(json_t **out, const char *text, size_t length, GError **error)
{
	return parse(out, "text", text, length, error);
}

int ql_json_load_file(json_t **out, const char *path, GError **error)
{
	gchar *text;
	gsize length;
	GError *cause = NULL;
	int ret;

	*out = NULL;
	if (!g_file_get_contents(path, &text, &length, &cause)) {
		ql_error_set(error, QL_E_IO, "%s", cause->message);
		g_error_free(cause);
		return QL_E_IO;
	}
	ret = parse(out, path, text, length, error);
	g_free(text);
	return ret;
}

/* Returns a member as an object; another value is replaced by an empty one. */
static json_t *object_member(json_t *target, const char *key)
{
	json_t *member = json_object_get(target, key);

	if (json_is_object(member))
		return member;
	member = json_object();
	json_object_set_new(target, key, member);
	return member;
}

void ql_json_merge_into(json_t *target, json_t *patch)
{
	const char *key;
	json_t *value;

	json_object_foreach (patch, key, value) {
		if (json_is_null(value))
			json_object_del(target, key);
		else if (json_is_object(value))
			ql_json_merge_into(object_member(target, key), value);
		else
			json_object_set_new(target, key, json_deep_copy(value));
	}
}

json_t *ql_json_apply_merge_patch(json_t *target, json_t *patch)
{
	json_t *result;

	if (!json_is_object(patch))
		return json_deep_copy(patch);
	result =
		json_is_object(target) ? json_deep_copy(target) : json_object();
	ql_json_merge_into(result, patch);
	return result;
}

char *ql_json_dump(const json_t *value)
{
	return json_dumps(value,
			  JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
}

json_t *ql_json_create_merge_patch(json_t *from, json_t *to)
{
	json_t *patch, *value, *before;
	const char *key;

	if (!json_is_object(from) || !json_is_object(to))
		return json_incref(to);
	patch = json_object();
	json_object_foreach (from, key, value)
		if (!json_object_get(to, key))
			json_object_set_new(patch, key, json_null());
	json_object_foreach (to, key, value) {
		before = json_object_get(from, key);
		if (!before)
			json_object_set(patch, key, value);
		else if (!json_equal(before, value))
			json_object_set_new(patch, key,
					    ql_json_create_merge_patch(before,
								       value));
	}
	return patch;
}
