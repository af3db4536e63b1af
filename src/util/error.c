#include "quetzalloft/error.h"

#include <pthread.h>
#include <stdarg.h>
#include <string.h>

static GQuark domain;

/* GLib allocates a lock at the first error, so there is one here. */
static void init_domain(void)
{
	domain = g_quark_from_static_string("quetzalloft-error-quark");
	g_error_free(g_error_new_literal(domain, 0, ""));
}

/* G_DEFINE_QUARK() lets threads write the quark at the same time. */
GQuark ql_error_quark(void)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;

	pthread_once(&once, init_domain);
	return domain;
}

static const char *const error_names[] = {
	"ok",	       "no_memory",   "invalid",   "range",    "type",
	"unknown_key", "missing_key", "not_found", "exists",   "full",
	"io",	       "corrupt",     "stale",	   "conflict", "pending",
	"not_leader",  "unavailable", "timeout",   "protocol", "denied",
	"cancelled",   "too_large",
};

const char *ql_error_name(int code)
{
	if (code > 0 || -code >= (int)G_N_ELEMENTS(error_names))
		return "other";
	return error_names[-code];
}

/* Arguments of a message may come from a peer and be no UTF-8. */
static void set_message(GError **error, ql_error_code_t code,
			const char *message)
{
	char *valid = g_utf8_make_valid(message, -1);

	*error = g_error_new_literal(QL_ERROR, code, valid);
	g_free(valid);
}

int ql_error_set(GError **error, ql_error_code_t code, const char *format, ...)
{
	char *message;
	va_list args;

	if (!error)
		return code;
	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	set_message(error, code, message);
	g_free(message);
	return code;
}

int ql_error_set_errno(GError **error, int errnum, const char *format, ...)
{
	char *context, *message;
	va_list args;

	if (!error)
		return QL_E_IO;
	va_start(args, format);
	context = g_strdup_vprintf(format, args);
	va_end(args);
	message = g_strdup_printf("%s: %s", context, g_strerror(errnum));
	set_message(error, QL_E_IO, message);
	g_free(message);
	g_free(context);
	return QL_E_IO;
}
