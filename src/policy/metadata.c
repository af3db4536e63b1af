#include "quetzalloft/metadata.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/document.h"
#include "quetzalloft/error.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#define ID_HEX_DIGITS 16
/* Numbers with so many digits fit into 64 bits. */
#define DECIMAL_DIGITS_MAX 19

typedef enum {
	KIND_UINT,
	KIND_NAME,
	KIND_KEY,
	KIND_ATTEMPT,
	KIND_OUTCOME,
	KIND_REASON,
} value_kind_t;

/*
 * A header and its field in ql_metadata_t: offset and size in bytes; max is the
 * largest value of a KIND_UINT.
 */
typedef struct {
	const char *name;
	uint32_t bit;
	value_kind_t kind;
	size_t offset;
	size_t size;
	uint64_t max;
} header_spec_t;

#define FIELD(member) \
	offsetof(ql_metadata_t, member), sizeof(((ql_metadata_t *)0)->member)

static const header_spec_t headers[] = {
	{QL_HEADER_TIMEOUT, QL_HAS_TIMEOUT, KIND_UINT, FIELD(timeout_ms),
	 QL_TIMEOUT_MAX_MS},
	{QL_HEADER_ATTEMPTS, QL_HAS_ATTEMPTS, KIND_UINT, FIELD(attempts),
	 QL_ATTEMPTS_MAX},
	{QL_HEADER_ATTEMPTS_UNUSED, QL_HAS_ATTEMPTS_UNUSED, KIND_UINT,
	 FIELD(attempts_unused), QL_ATTEMPTS_MAX},
	{QL_HEADER_VERSION, QL_HAS_VERSION, KIND_UINT, FIELD(version),
	 INT64_MAX},
	{QL_HEADER_CLOCK, QL_HAS_CLOCK, KIND_UINT, FIELD(clock), INT64_MAX},
	{QL_HEADER_LOAD_LEVEL, QL_HAS_LOAD_LEVEL, KIND_UINT, FIELD(load_level),
	 QL_CLASSES_MAX + 1},
	{QL_HEADER_PRESSURE, QL_HAS_PRESSURE, KIND_UINT, FIELD(pressure),
	 QL_PRESSURE_MAX_PERMILLE},
	{QL_HEADER_OCCUPANCY, QL_HAS_OCCUPANCY, KIND_UINT, FIELD(occupancy),
	 QL_OCCUPANCY_MAX_PERMILLE},
	{QL_HEADER_ATTEMPT_ID, QL_HAS_ATTEMPT, KIND_ATTEMPT, FIELD(attempt), 0},
	{QL_HEADER_KEY, QL_HAS_KEY, KIND_KEY, FIELD(key), 0},
	{QL_HEADER_CLASS, QL_HAS_CLASS, KIND_NAME, FIELD(class_name), 0},
	{QL_HEADER_SERVICE, QL_HAS_SERVICE, KIND_NAME, FIELD(service), 0},
	{QL_HEADER_UNDER_WAY, QL_HAS_UNDER_WAY, KIND_UINT, FIELD(under_way), 1},
	{QL_HEADER_REPEAT, QL_HAS_REPEAT, KIND_UINT, FIELD(repeat), 1},
	{QL_HEADER_IDEMPOTENT, QL_HAS_IDEMPOTENT, KIND_UINT, FIELD(idempotent),
	 1},
	{QL_HEADER_SEAL, QL_HAS_SEAL, KIND_UINT, FIELD(seal), 1},
	{QL_HEADER_OUTCOME, QL_HAS_OUTCOME, KIND_OUTCOME, FIELD(outcome), 0},
	{QL_HEADER_REASON, QL_HAS_REASON, KIND_REASON, FIELD(reason), 0},
};

void ql_metadata_init(ql_metadata_t *metadata)
{
	memset(metadata, 0, sizeof(*metadata));
}

static const header_spec_t *find_header(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(headers); i++)
		if (!g_ascii_strcasecmp(headers[i].name, name))
			return &headers[i];
	return NULL;
}

bool ql_metadata_is_protocol_header(const char *name)
{
	return find_header(name);
}

static int set_malformed_error(GError **error, const header_spec_t *header,
			       const char *value, const char *allowed)
{
	return ql_error_set(error, QL_E_INVALID,
			    "%s: found \"%.64s\", allowed %s", header->name,
			    value, allowed);
}

static int parse_uint(uint64_t *out, const header_spec_t *header,
		      const char *value, GError **error)
{
	size_t length = strlen(value);

	if (!length || strspn(value, "0123456789") != length)
		return set_malformed_error(error, header, value,
					   "decimal digits");
	if (length > DECIMAL_DIGITS_MAX ||
	    g_ascii_strtoull(value, NULL, 10) > header->max)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: found %.64s, allowed 0 to %" PRIu64,
				    header->name, value, header->max);
	*out = g_ascii_strtoull(value, NULL, 10);
	return 0;
}

static int parse_text(char *out, const header_spec_t *header, const char *value,
		      GError **error)
{
	size_t length = strlen(value);
	size_t i;

	if (!length || length >= header->size)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: found %zu bytes, allowed 1 to %zu",
				    header->name, length, header->size - 1);
	for (i = 0; i < length; i++)
		if (!g_ascii_isgraph(value[i]))
			return set_malformed_error(
				error, header, value,
				"printable ASCII without spaces");
	memcpy(out, value, length + 1);
	return 0;
}

static int parse_value(char *field, const header_spec_t *header,
		       const char *value, GError **error)
{
	switch (header->kind) {
	case KIND_UINT:
		return parse_uint((uint64_t *)field, header, value, error);
	case KIND_NAME:
	case KIND_KEY:
		return parse_text(field, header, value, error);
	case KIND_ATTEMPT:
		if (ql_attempt_parse((ql_attempt_id_t *)field, value))
			return set_malformed_error(
				error, header, value,
				"16 hex digits, a dash, 16 hex "
				"digits");
		return 0;
	case KIND_OUTCOME:
		if (ql_outcome_parse((ql_outcome_t *)field, value))
			return set_malformed_error(error, header, value,
						   "an outcome");
		return 0;
	case KIND_REASON:
		if (ql_reason_parse((ql_reason_t *)field, value))
			return set_malformed_error(error, header, value,
						   "a reason");
		return 0;
	}
	return QL_E_INVALID;
}

int ql_metadata_add(ql_metadata_t *metadata, const char *name,
		    const char *value, GError **error)
{
	const header_spec_t *header = find_header(name);
	int ret;

	if (!header)
		return 0;
	if (metadata->has & header->bit)
		return ql_error_set(error, QL_E_CONFLICT,
				    "%s: found more than one, allowed one",
				    header->name);
	ret = parse_value((char *)metadata + header->offset, header, value,
			  error);
	if (!ret)
		metadata->has |= header->bit;
	return ret;
}

static const char *format_value(char *buffer, const header_spec_t *header,
				const char *field)
{
	switch (header->kind) {
	case KIND_UINT:
		snprintf(buffer, QL_ATTEMPT_TEXT_MAX, "%" PRIu64,
			 *(const uint64_t *)field);
		return buffer;
	case KIND_NAME:
	case KIND_KEY:
		return field;
	case KIND_ATTEMPT:
		ql_attempt_format(buffer, (const ql_attempt_id_t *)field);
		return buffer;
	case KIND_OUTCOME:
		return ql_outcome_name(*(const ql_outcome_t *)field);
	case KIND_REASON:
		return ql_reason_name(*(const ql_reason_t *)field);
	}
	return "";
}

void ql_metadata_emit(const ql_metadata_t *metadata, ql_metadata_emit_t emit,
		      void *data)
{
	char buffer[QL_ATTEMPT_TEXT_MAX];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(headers); i++)
		if (metadata->has & headers[i].bit)
			emit(data, headers[i].name,
			     format_value(buffer, &headers[i],
					  (const char *)metadata +
						  headers[i].offset));
}

void ql_attempt_format(char *out, const ql_attempt_id_t *attempt)
{
	snprintf(out, QL_ATTEMPT_TEXT_MAX, "%016" PRIx64 "-%016" PRIx64,
		 attempt->request, attempt->attempt);
}

static bool is_hex_word(const char *text)
{
	size_t i;

	for (i = 0; i < ID_HEX_DIGITS; i++)
		if (!g_ascii_isxdigit(text[i]))
			return false;
	return true;
}

int ql_attempt_parse(ql_attempt_id_t *out, const char *text)
{
	if (strlen(text) != QL_ATTEMPT_TEXT_MAX - 1 || !is_hex_word(text) ||
	    text[ID_HEX_DIGITS] != '-' ||
	    !is_hex_word(text + ID_HEX_DIGITS + 1))
		return QL_E_INVALID;
	out->request = g_ascii_strtoull(text, NULL, 16);
	out->attempt = g_ascii_strtoull(text + ID_HEX_DIGITS + 1, NULL, 16);
	return 0;
}

uint64_t ql_remaining_ms(uint64_t deadline_us, uint64_t now_us)
{
	uint64_t remaining_us = deadline_us > now_us ? deadline_us - now_us : 0;
	uint64_t remaining_ms =
		remaining_us / QL_US_PER_MS + !!(remaining_us % QL_US_PER_MS);

	return CLAMP(remaining_ms, 1, QL_TIMEOUT_MAX_MS);
}
