#include "quetzalloft/text.h"

#include <stdbool.h>
#include <string.h>

static bool is_continuation_byte(char byte)
{
	return ((guchar)byte & 0xc0) == 0x80;
}

void ql_text_copy(char *out, size_t size, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	size_t length = strlen(valid);

	g_assert(size);
	if (length >= size) {
		length = size - 1;
		while (length && is_continuation_byte(valid[length]))
			length--;
	}
	memcpy(out, valid, length);
	out[length] = '\0';
	g_free(valid);
}
