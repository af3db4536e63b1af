#ifndef QL_PATH_QUOTA_LOG_H
#define QL_PATH_QUOTA_LOG_H

/**
 * DOC: Log lines on the quotas of the teams with the most requests, and of the
 * other teams together.
 */

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Teams with a line of their own. */
#define QL_QUOTA_LOG_TEAMS 3u

/**
 * struct ql_quota_load - Counts of a team since the last log line.
 * @team: name; borrowed
 * @given: tokens granted
 * @used: requests that took a token
 * @refused: requests that there was no token for
 */
typedef struct ql_quota_load {
	const char *team;
	uint64_t given;
	uint64_t used;
	uint64_t refused;
} ql_quota_load_t;

/**
 * struct ql_quota_log - The lines to write.
 * @largest: the largest teams, in order
 * @n_largest: number of @largest
 * @rest: sum of the other teams
 */
typedef struct ql_quota_log {
	ql_quota_load_t largest[QL_QUOTA_LOG_TEAMS];
	size_t n_largest;
	ql_quota_load_t rest;
} ql_quota_log_t;

/**
 * ql_quota_log_init() - Begin without a team.
 * @log: the lines
 */
void ql_quota_log_init(ql_quota_log_t *log);

/**
 * ql_quota_log_add() - Add a team.
 * @log: the lines
 * @load: its counts; its name is borrowed until ql_quota_log_write()
 */
void ql_quota_log_add(ql_quota_log_t *log, const ql_quota_load_t *load);

/**
 * ql_quota_log_write() - Write the lines, event quota_load.
 * @log: the lines
 */
void ql_quota_log_write(const ql_quota_log_t *log);

G_END_DECLS

#endif
