#include "path/quota_log.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Name in the line of the other teams; no team can have it. */
#define REST_NAME "*"

void ql_quota_log_init(ql_quota_log_t *log)
{
	memset(log, 0, sizeof(*log));
	log->rest.team = REST_NAME;
}

static uint64_t size_of(const ql_quota_load_t *load)
{
	return load->given + load->used + load->refused;
}

static void add_to_rest(ql_quota_log_t *log, const ql_quota_load_t *load)
{
	log->rest.given += load->given;
	log->rest.used += load->used;
	log->rest.refused += load->refused;
}

void ql_quota_log_add(ql_quota_log_t *log, const ql_quota_load_t *load)
{
	size_t i = log->n_largest;

	if (!size_of(load))
		return;
	if (i == QL_QUOTA_LOG_TEAMS) {
		i--;
		if (size_of(load) <= size_of(&log->largest[i])) {
			add_to_rest(log, load);
			return;
		}
		add_to_rest(log, &log->largest[i]);
	} else {
		log->n_largest++;
	}
	for (; i && size_of(load) > size_of(&log->largest[i - 1]); i--)
		log->largest[i] = log->largest[i - 1];
	log->largest[i] = *load;
}

static void write_line(const ql_quota_load_t *load)
{
	ql_log(LOG_NOTICE, "quota_load", QL_STR("team", load->team),
	       QL_UINT("given", load->given), QL_UINT("used", load->used),
	       QL_UINT("refused", load->refused));
}

void ql_quota_log_write(const ql_quota_log_t *log)
{
	size_t i;

	for (i = 0; i < log->n_largest; i++)
		write_line(&log->largest[i]);
	if (size_of(&log->rest))
		write_line(&log->rest);
}
