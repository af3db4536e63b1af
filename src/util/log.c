#include "quetzalloft/log.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include <fcntl.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define PROCESS_NAME_MAX 64

/* Lines of one event that is not urgent: so many a second, and at once. */
#define INFO_PER_S 20.0
#define INFO_BURST 100.0
/* Events with a meter of their own; further ones share the last. */
#define METERS_MAX 32u

static int threshold = LOG_INFO;
static int output = STDERR_FILENO;
static struct {
	const char *event;
	ql_log_meter_t meter;
} meters[METERS_MAX];
static pthread_mutex_t meter_lock = PTHREAD_MUTEX_INITIALIZER;
/* Lines that were left out or could not be written since the last line. */
static uint64_t left_out;
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

bool ql_log_meter_take(ql_log_meter_t *meter, uint64_t now_us)
{
	double earned;

	if (meter->taken_us) {
		earned = (double)(now_us - MIN(meter->taken_us, now_us)) /
			 (double)QL_US_PER_S * meter->per_s;
		meter->tokens = MIN(meter->tokens + earned, meter->burst);
	}
	meter->taken_us = now_us;
	if (meter->tokens < 1)
		return false;
	meter->tokens -= 1;
	return true;
}

/* A frequent event leaves the lines of others alone. */
static ql_log_meter_t *find_meter(const char *event)
{
	size_t i;

	for (i = 0; i + 1 < METERS_MAX && meters[i].event; i++)
		if (!strcmp(meters[i].event, event))
			return &meters[i].meter;
	if (!meters[i].event) {
		meters[i].event = event;
		meters[i].meter = (ql_log_meter_t){
			.per_s = INFO_PER_S,
			.burst = INFO_BURST,
			.tokens = INFO_BURST,
		};
	}
	return &meters[i].meter;
}

static bool is_due(int priority, const char *event)
{
	bool due;

	if (priority < LOG_INFO)
		return true;
	pthread_mutex_lock(&meter_lock);
	due = ql_log_meter_take(find_meter(event), ql_clock_now_us());
	pthread_mutex_unlock(&meter_lock);
	return due;
}

static void leave_out(void)
{
	__atomic_add_fetch(&left_out, 1, __ATOMIC_RELAXED);
}

/* A reader that has stopped costs lines, and never holds a thread. */
static void write_line(const GString *line)
{
	if (write(output, line->str, line->len) < 0)
		leave_out();
}

static void append_left_out(GString *line)
{
	uint64_t n = __atomic_exchange_n(&left_out, 0, __ATOMIC_RELAXED);
	const ql_field_t field = QL_UINT("left_out", n);

	if (n)
		ql_field_append(line, &field);
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
	if (!is_due(priority, event)) {
		leave_out();
		return;
	}
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	line = g_string_sized_new(256);
	g_string_append_printf(line,
			       "<%d>time=%.23sZ level=%s process=%s event=%s",
			       priority, stamp, priority_names[priority & 7],
			       process_name, event);
	for (i = 0; i < n_fields; i++)
		ql_field_append(line, &fields[i]);
	append_left_out(line);
	g_string_append_c(line, '\n');
	write_line(line);
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

void ql_log_set_output(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	output = fd;
}

void ql_log_set_process(const char *name)
{
	g_strlcpy(process_name, name, sizeof(process_name));
}
