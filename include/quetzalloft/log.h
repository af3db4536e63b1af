#ifndef QUETZALLOFT_LOG_H
#define QUETZALLOFT_LOG_H

/**
 * DOC: Structured log: one line of key=value pairs for each event, with a
 * syslog priority, on standard error or, for processes with a role, standard
 * output. Lines of priority LOG_INFO and below are rate-limited; the field
 * left_out of the next line is the number of lines that were not written.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <syslog.h>

G_BEGIN_DECLS

/**
 * enum ql_field_type - Type of the value of a field.
 * @QL_FIELD_STRING: a string; NULL is written as an empty one
 * @QL_FIELD_UINT: a uint64_t
 * @QL_FIELD_INT: an int64_t
 * @QL_FIELD_REAL: a double, written with 6 significant digits
 */
typedef enum ql_field_type {
	QL_FIELD_STRING,
	QL_FIELD_UINT,
	QL_FIELD_INT,
	QL_FIELD_REAL,
} ql_field_type_t;

/**
 * struct ql_field - A key=value pair of a log line.
 * @key: name of the field; not escaped
 * @type: which member of @value is set
 * @value: the value; a string is borrowed
 */
typedef struct ql_field {
	const char *key;
	ql_field_type_t type;
	union {
		const char *string;
		uint64_t uint;
		int64_t sint;
		double real;
	} value;
} ql_field_t;

/* Initializers of a &struct ql_field with the key k and the value v. */
#define QL_STR(k, v)                                                     \
	{                                                                \
		.key = (k), .type = QL_FIELD_STRING, .value.string = (v) \
	}
#define QL_UINT(k, v)                                                \
	{                                                            \
		.key = (k), .type = QL_FIELD_UINT, .value.uint = (v) \
	}
#define QL_INT(k, v)                                                \
	{                                                           \
		.key = (k), .type = QL_FIELD_INT, .value.sint = (v) \
	}
#define QL_REAL(k, v)                                                \
	{                                                            \
		.key = (k), .type = QL_FIELD_REAL, .value.real = (v) \
	}

/**
 * ql_log() - Log an event.
 * @priority: a syslog priority such as LOG_ERR
 * @event: name of the event, a string literal
 * @...: fields, at least one: QL_STR(), QL_UINT(), QL_INT() or QL_REAL()
 */
#define ql_log(priority, event, ...)                                    \
	ql_log_fields((priority), (event), (ql_field_t[]){__VA_ARGS__}, \
		      sizeof((ql_field_t[]){__VA_ARGS__}) /             \
			      sizeof(ql_field_t))

/**
 * ql_log_fields() - Log an event. Thread-safe.
 * @priority: a syslog priority such as LOG_ERR
 * @event: name of the event, a static string
 * @fields: the fields
 * @n_fields: number of @fields
 */
void ql_log_fields(int priority, const char *event, const ql_field_t *fields,
		   size_t n_fields);

/**
 * ql_log_error() - Log a failure as an event with the fields error and detail.
 * @priority: a syslog priority such as LOG_ERR
 * @event: name of the event, a static string
 * @error: the failure; NULL is logged as error=none
 */
void ql_log_error(int priority, const char *event, const GError *error);

/**
 * ql_log_set_threshold() - Set the priority below which events are dropped.
 * @priority: lowest syslog priority that is written, LOG_INFO by default
 */
void ql_log_set_threshold(int priority);

/**
 * ql_log_set_output() - Write log lines to another file descriptor.
 * @fd: the descriptor, which is set to non-blocking: a line that would block is
 *      dropped
 */
void ql_log_set_output(int fd);

/**
 * struct ql_log_rate_limit - Token bucket that limits the lines of one event.
 * @lines_per_s: tokens added per second
 * @burst_lines: capacity of the bucket
 * @tokens: lines that may be written as of @refilled_us
 * @refilled_us: time of the last refill, see ql_clock_now_us(); 0 before the
 *               first one
 */
typedef struct ql_log_rate_limit {
	double lines_per_s;
	double burst_lines;
	double tokens;
	uint64_t refilled_us;
} ql_log_rate_limit_t;

/**
 * ql_log_rate_limit_take() - Refill the bucket and take one token if there is
 * one. Not thread-safe.
 * @limit: the token bucket
 * @now_us: current time, see ql_clock_now_us()
 *
 * Return: whether a line may be written.
 */
bool ql_log_rate_limit_take(ql_log_rate_limit_t *limit, uint64_t now_us);

/**
 * ql_log_set_process() - Set the name of the process that every line contains.
 * @name: the name; copied, and truncated to 63 bytes
 */
void ql_log_set_process(const char *name);

/**
 * ql_field_append() - Append a space and a field as key=value.
 * @line: line to append to
 * @field: the field
 *
 * A string with other characters than letters, digits and "._:/-+@," is quoted,
 * and quotes, backslashes, control characters and bytes from 0x7f on are
 * escaped, so that a value cannot forge another field or line.
 */
void ql_field_append(GString *line, const ql_field_t *field);

G_END_DECLS

#endif
