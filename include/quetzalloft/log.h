#ifndef QUETZALLOFT_LOG_H
#define QUETZALLOFT_LOG_H

/**
 * DOC: Structured log: one line of key=value pairs for each event, with a
 * syslog priority, on standard error or, for processes with a role, standard
 * output. Lines of priority LOG_INFO are bounded in number; a line tells in
 * left_out how many before it were not written.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <syslog.h>

G_BEGIN_DECLS

typedef enum ql_field_type {
	QL_FIELD_STRING,
	QL_FIELD_UINT,
	QL_FIELD_INT,
	QL_FIELD_REAL,
} ql_field_type_t;

/**
 * struct ql_field - One key=value pair.
 * @key: a static name
 * @type: which member of the union holds the value
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
 * ql_log() - Write one event to standard error.
 * @priority: a syslog priority, LOG_ERR and the like
 * @event: the static name of the event
 * @...: fields made with QL_STR() and its kin
 */
#define ql_log(priority, event, ...)                                    \
	ql_log_fields((priority), (event), (ql_field_t[]){__VA_ARGS__}, \
		      sizeof((ql_field_t[]){__VA_ARGS__}) /             \
			      sizeof(ql_field_t))

void ql_log_fields(int priority, const char *event, const ql_field_t *fields,
		   size_t n_fields);

/**
 * ql_log_error() - Write a failure as one event.
 * @priority: a syslog priority
 * @event: the static name of the event
 * @error: the failure; may be NULL
 */
void ql_log_error(int priority, const char *event, const GError *error);

/**
 * ql_log_set_threshold() - Drop events less urgent than a priority.
 * @priority: the least urgent syslog priority that is written
 */
void ql_log_set_threshold(int priority);

/**
 * ql_log_set_output() - Write to another file, and never wait for its reader.
 * @fd: its descriptor, which becomes non-blocking
 */
void ql_log_set_output(int fd);

/**
 * struct ql_log_rate_limit - Bounds the lines of one kind.
 * @lines_per_s: lines a second
 * @burst_lines: lines at once
 * @tokens: lines that are allowed at present
 * @refilled_us: when that was
 */
typedef struct ql_log_rate_limit {
	double lines_per_s;
	double burst_lines;
	double tokens;
	uint64_t refilled_us;
} ql_log_rate_limit_t;

/**
 * ql_log_rate_limit_take() - Ask for one more line.
 * @limit: the bound
 * @now_us: the time
 *
 * Return: whether it may be written.
 */
bool ql_log_rate_limit_take(ql_log_rate_limit_t *limit, uint64_t now_us);

/**
 * ql_log_set_process() - Name this process on every line.
 * @name: copied, cut to 63 bytes
 */
void ql_log_set_process(const char *name);

/**
 * ql_field_append() - Append one pair as key=value, quoted where needed.
 * @line: where to append
 * @field: the pair
 *
 * Control characters, quotes and backslashes are escaped, so that no value
 * can forge another pair or another line.
 */
void ql_field_append(GString *line, const ql_field_t *field);

G_END_DECLS

#endif
