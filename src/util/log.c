#include "quetzalloft/log.h"
#include "quetzalloft/error.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#define PROCESS_NAME_MAX 64

static int threshold = LOG_INFO;
static char process_name[PROCESS_NAME_MAX] = "quetzalloft";

static const char *const priority_names[] = {
	"emerg", "alert", "crit", "err", "warning", "notice", "info", "debug",
};

static int is_plain(const char *s)
{
	const char *p;

	for (p = s; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("._:/-+@,", *p))
			return 0;
	return p != s;
}

static void append_quoted(GString *line, const char *s)
{
	const unsigned char *p;

	g_string_append_c(line, '"');
	for (p = (const unsigned char *)s; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(line, "\\%c", *p);
		else if (*p < 0x20 || *p >= 0x7f)
			g_string_append_printf(line, "\\x%02x", *p);
		else
			g_string_append_c(line, (char)*p);
	}
	g_string_append_c(line, '"');
}

void ql_field_append(GString *line, const ql_field_t *field)
{
	const char *s;

	g_string_append_printf(line, " %s=", field->key);
	switch (field->type) {
	case QL_FIELD_STRING:
		s = field->value.string ? field->value.string : "";
		if (is_plain(s))
			g_string_append(line, s);
		else
			append_quoted(line, s);
		break;
	case QL_FIELD_UINT:
		g_string_append_printf(line, "%" PRIu64, field->value.uint);
		break;
	case QL_FIELD_INT:
		g_string_append_printf(line, "%" PRId64, field->value.sint);
		break;
	case QL_FIELD_REAL:
		g_string_append_printf(line, "%.6g", field->value.real);
		break;
	}
}

void ql_log_fields(int priority, const char *event, const ql_field_t *fields,
		   size_t n_fields)
{
	GString *line;
	GDateTime *now;
	char *stamp;
	size_t i;

	if (priority > threshold)
		return;
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	line = g_string_sized_new(256);
	g_string_append_printf(line,
			       "<%d>time=%.23sZ level=%s process=%s event=%s",
			       priority, stamp, priority_names[priority & 7],
			       process_name, event);
	for (i = 0; i < n_fields; i++)
		ql_field_append(line, &fields[i]);
	g_string_append_c(line, '\n');
	/* A line that cannot be written has nowhere else to go. */
	if (write(STDERR_FILENO, line->str, line->len) < 0)
		threshold = LOG_EMERG;
	g_string_free(line, TRUE);
	g_free(stamp);
	g_date_time_unref(now);
}

void ql_log_error(int priority, const char *event, const GError *error)
{
	if (!error) {
		ql_log(priority, event, QL_STR("error", "none"));
		return;
	}
	ql_log(priority, event, QL_STR("error", ql_error_name(error->code)),
	       QL_STR("detail", error->message));
}

void ql_log_set_threshold(int priority)
{
	threshold = priority;
}

void ql_log_set_process(const char *name)
{
	g_strlcpy(process_name, name, sizeof(process_name));
}
