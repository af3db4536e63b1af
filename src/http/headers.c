#include "http/headers.h"

#include <string.h>
#include <strings.h>

#define INITIAL_TEXT_BYTES 512u
#define INITIAL_HEADERS 12u

/* Headers that apply to one connection, and those that frame the body. */
static const char *const hop_by_hop[] = {
	"connection",	     "keep-alive", "proxy-connection",
	"transfer-encoding", "upgrade",	   "te",
	"trailer",	     "expect",	   "content-length",
};

void ql_headers_init(ql_headers_t *headers)
{
	headers->text = g_string_sized_new(INITIAL_TEXT_BYTES);
	headers->offsets =
		g_array_sized_new(FALSE, FALSE, sizeof(ql_header_offsets_t),
				  INITIAL_HEADERS);
}

void ql_headers_finish(ql_headers_t *headers)
{
	g_string_free(headers->text, TRUE);
	g_array_free(headers->offsets, TRUE);
}

void ql_headers_clear(ql_headers_t *headers)
{
	g_string_truncate(headers->text, 0);
	g_array_set_size(headers->offsets, 0);
}

void ql_headers_swap(ql_headers_t *a, ql_headers_t *b)
{
	ql_headers_t saved = *a;

	*a = *b;
	*b = saved;
}

/* Terminates the last string and returns the offset of the next one. */
static uint32_t start_string(ql_headers_t *headers)
{
	if (headers->text->len)
		g_string_append_c(headers->text, '\0');
	return (uint32_t)headers->text->len;
}

void ql_headers_add_name(ql_headers_t *headers, const char *bytes,
			 size_t length, bool is_first)
{
	ql_header_offsets_t position;

	if (is_first) {
		position.name = start_string(headers);
		/* A header without a value reads as an empty value. */
		position.value = UINT32_MAX;
		g_array_append_val(headers->offsets, position);
	}
	g_string_append_len(headers->text, bytes, (gssize)length);
}

void ql_headers_add_value(ql_headers_t *headers, const char *bytes,
			  size_t length, bool is_first)
{
	ql_header_offsets_t *position =
		&g_array_index(headers->offsets, ql_header_offsets_t,
			       headers->offsets->len - 1);

	if (is_first)
		position->value = start_string(headers);
	g_string_append_len(headers->text, bytes, (gssize)length);
}

void ql_headers_add(ql_headers_t *headers, const char *name, const char *value)
{
	ql_headers_add_name(headers, name, strlen(name), true);
	ql_headers_add_value(headers, value, strlen(value), true);
}

size_t ql_headers_count(const ql_headers_t *headers)
{
	return headers->offsets->len;
}

const char *ql_headers_name(const ql_headers_t *headers, size_t index)
{
	return headers->text->str +
	       g_array_index(headers->offsets, ql_header_offsets_t, index).name;
}

const char *ql_headers_value(const ql_headers_t *headers, size_t index)
{
	uint32_t value =
		g_array_index(headers->offsets, ql_header_offsets_t, index)
			.value;

	return value == UINT32_MAX ? "" : headers->text->str + value;
}

const char *ql_headers_get(const ql_headers_t *headers, const char *name)
{
	size_t i;

	for (i = 0; i < headers->offsets->len; i++)
		if (!strcasecmp(ql_headers_name(headers, i), name))
			return ql_headers_value(headers, i);
	return NULL;
}

/* Checks whether a comma-separated list contains a header name. */
static bool list_contains(const char *list, const char *name)
{
	size_t length = strlen(name);
	const char *end;

	while (*list) {
		list += strspn(list, " \t,");
		end = list + strcspn(list, " \t,");
		if ((size_t)(end - list) == length &&
		    !strncasecmp(list, name, length))
			return true;
		list = end;
	}
	return false;
}

bool ql_header_is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (!strcasecmp(hop_by_hop[i], name))
			return true;
	return false;
}

bool ql_headers_connection_lists(const ql_headers_t *headers, const char *name)
{
	size_t i;

	for (i = 0; i < headers->offsets->len; i++)
		if (!strcasecmp(ql_headers_name(headers, i), "connection") &&
		    list_contains(ql_headers_value(headers, i), name))
			return true;
	return false;
}

static void append(GByteArray *out, const char *text, size_t length)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)length);
}

void ql_headers_write(GByteArray *out, const char *name, const char *value)
{
	guint start;

	append(out, name, strlen(name));
	append(out, ": ", 2);
	start = out->len;
	append(out, value, strlen(value));
	for (; start < out->len; start++)
		if (out->data[start] < ' ')
			out->data[start] = ' ';
	append(out, "\r\n", 2);
}

void ql_headers_write_uint(GByteArray *out, const char *name, uint64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	ql_headers_write(out, name, text);
}
