#ifndef QUETZALLOFT_WITHDRAWAL_H
#define QUETZALLOFT_WITHDRAWAL_H

/**
 * DOC: Withdrawals of endpoints. An endpoint withdraws when it reports that it
 * drains or when it deregisters. A report that was sent before may arrive
 * after that; it must not bring the endpoint back, also not at a node that has
 * restarted in between. Registrars therefore keep the latest withdrawal of each
 * gate for its node. Withdrawals are totally ordered and the later one wins, so
 * they may be merged in any order.
 */

#include "quetzalloft/dialect.h"

G_BEGIN_DECLS

/** @sequence of a withdrawal by a deregistration. */
#define QL_WITHDRAWAL_FINAL UINT64_MAX

/**
 * struct ql_withdrawal - The withdrawal of an endpoint; all zeros for none.
 * @instance: ID of the run of the endpoint process that has withdrawn
 * @started_ms: start of that run, Unix time
 * @sequence: the report that announced the withdrawal; this report and earlier
 *            ones of the run are void. QL_WITHDRAWAL_FINAL for all reports.
 */
typedef struct ql_withdrawal {
	char instance[QL_INSTANCE_MAX];
	uint64_t started_ms;
	uint64_t sequence;
} ql_withdrawal_t;

/**
 * ql_withdrawal_init() - Describe the withdrawal of a run of an endpoint.
 * @withdrawal: the withdrawal
 * @instance: ID of the run
 * @started_ms: start of the run, Unix time
 * @sequence: the report that announced it, or QL_WITHDRAWAL_FINAL
 */
void ql_withdrawal_init(ql_withdrawal_t *withdrawal, const char *instance,
			uint64_t started_ms, uint64_t sequence);

/**
 * ql_withdrawal_merge() - Keep the later one of two withdrawals.
 * @withdrawal: replaced by @other if that is the later one
 * @other: the other one
 *
 * Return: whether @withdrawal has changed.
 */
bool ql_withdrawal_merge(ql_withdrawal_t *withdrawal,
			 const ql_withdrawal_t *other);

/**
 * ql_withdrawal_covers() - Check whether a withdrawal voids a report.
 * @withdrawal: the withdrawal
 * @report: the report
 *
 * Return: true for a report of the same run that is not later, and for all
 * reports of earlier runs with the same ID. Runs with other IDs are not
 * affected, as requests name the ID of the run that is to serve them.
 */
bool ql_withdrawal_covers(const ql_withdrawal_t *withdrawal,
			  const ql_instance_report_t *report);

G_END_DECLS

#endif
