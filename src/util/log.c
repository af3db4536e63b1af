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
#define INFO_LINES_PER_S 20.0
#define INFO_BURST_LINES 100.0
/* Events with a limit of their own; further ones share the last. */
#define RATE_LIMITS_MAX 32u

static int threshold = LOG_INFO;
static int output = STDERR_FILENO;
static struct {
	const char *event;
	ql_log_rate_limit_t limit;
} rate_limits[RATE_LIMITS_MAX];
static pthread_mutex_t rate_limits_lock = PTHREAD_MUTEX_INITIALIZER;
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

bool ql_log_rate_limit_take(ql_log_rate_limit_t *limit, uint64_t now_us)
{
	double refill;

	if (limit->refilled_us) {
		refill = (double)(now_us - MIN(limit->refilled_us, now_us)) /
			 (double)QL_US_PER_S * limit->lines_per_s;
		limit->tokens = MIN(limit->tokens + refill, limit->burst_lines);
	}
	limit->refilled_us = now_us;
	if (limit->tokens < 1)
		return false;
	limit->tokens -= 1;
	return true;
}

/* A frequent event leaves the lines of others alone. */
static ql_log_rate_limit_t *find_rate_limit(const char *event)
{
	size_t i;

	for (i = 0; i + 1 < RATE_LIMITS_MAX && rate_limits[i].event; i++)
		if (!strcmp(rate_limits[i].event, event))
			return &rate_limits[i].limit;
	if (!rate_limits[i].event) {
		rate_limits[i].event = event;
		rate_limits[i].limit = (ql_log_rate_limit_t){
			.lines_per_s = INFO_LINES_PER_S,
			.burst_lines = INFO_BURST_LINES,
			.tokens = INFO_BURST_LINES,
		};
	}
	return &rate_limits[i].limit;
}

static bool is_allowed(int priority, const char *event)
{
	bool allowed;

	if (priority < LOG_INFO)
		return true;
	pthread_mutex_lock(&rate_limits_lock);
	allowed = ql_log_rate_limit_take(find_rate_limit(event),
					 ql_clock_now_us());
	pthread_mutex_unlock(&rate_limits_lock);
	return allowed;
}

static void count_left_out(void)
{
	__atomic_add_fetch(&left_out, 1, __ATOMIC_RELAXED);
}

/* A reader that has stopped costs lines, and never holds a thread. */
static void write_line(const GString *line)
{
	if (write(output, line->str, line->len) < 0)
		count_left_out();
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
	if (!is_allowed(priority, event)) {
		count_left_out();
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
