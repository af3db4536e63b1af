#include "http/field_check.h"

#include <string.h>

static bool is_token_byte(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_value_byte(char c)
{
	guchar byte = (guchar)c;

	return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool check_line_start(ql_field_state_t *state, char c)
{
	if (c == '\n')
		*state = QL_FIELD_END;
	else if (c == '\r')
		*state = QL_FIELD_END_CR;
	else
		*state = QL_FIELD_NAME;
	return *state != QL_FIELD_NAME || is_token_byte(c);
}

static bool check_name(ql_field_state_t *state, char c)
{
	if (c == ':')
		*state = QL_FIELD_VALUE;
	return c == ':' || is_token_byte(c);
}

static bool check_value(ql_field_state_t *state, char c)
{
	if (c == '\n')
		*state = QL_FIELD_LINE;
	else if (c == '\r')
		*state = QL_FIELD_VALUE_CR;
	return *state != QL_FIELD_VALUE || is_value_byte(c);
}

static bool check_byte(ql_field_state_t *state, char c)
{
	switch (*state) {
	case QL_FIELD_BEFORE_START:
		if (c != '\r' && c != '\n')
			*state = QL_FIELD_START_LINE;
		return true;
	case QL_FIELD_START_LINE:
		if (c == '\n')
			*state = QL_FIELD_LINE;
		else if (c == '\r')
			*state = QL_FIELD_START_CR;
		return true;
	case QL_FIELD_LINE:
		return check_line_start(state, c);
	case QL_FIELD_NAME:
		return check_name(state, c);
	case QL_FIELD_VALUE:
		return check_value(state, c);
	case QL_FIELD_START_CR:
	case QL_FIELD_VALUE_CR:
		*state = QL_FIELD_LINE;
		return c == '\n';
	case QL_FIELD_END_CR:
		*state = QL_FIELD_END;
		return c == '\n';
	case QL_FIELD_END:
	default:
		return true;
	}
}

bool ql_field_check(ql_field_state_t *state, const char *bytes, size_t length)
{
	size_t i;

	for (i = 0; i < length && *state != QL_FIELD_END; i++)
		if (!check_byte(state, bytes[i]))
			return false;
	return true;
}
