#ifndef QUETZALLOFT_ALLOWANCE_H
#define QUETZALLOFT_ALLOWANCE_H

/**
 * DOC: The attempt allowance of one client request: the number of attempts
 * that all services together may still make for it. The allowance is conserved:
 * attempts lent to a callee are subtracted from the caller's allowance, and
 * only the attempts that the callee reports as unused are added again. When the
 * answer is lost, all lent attempts count as used.
 */

#include "quetzalloft/document.h"

G_BEGIN_DECLS

/**
 * struct ql_allowance - Attempts that one caller may still make.
 * @remaining: number of attempts left
 */
typedef struct ql_allowance {
	uint32_t remaining;
} ql_allowance_t;

/**
 * ql_allowance_init() - Initialize an allowance.
 * @allowance: allowance
 * @attempts: number of attempts that the caller may make in total
 */
void ql_allowance_init(ql_allowance_t *allowance, uint32_t attempts);

/**
 * ql_allowance_lend() - Subtract the attempts that one attempt may use.
 * @allowance: allowance of the caller
 * @need: attempts that the callee uses when none fails, including the attempt
 *        itself
 * @reserve: attempts to keep for the other calls that the caller has still to
 *           make; see ql_allowance_compute_reserve()
 *
 * A callee that makes no calls (@need is 1) is lent one attempt. Any other
 * callee is also lent the spare attempts, for retries of its own downstream
 * calls. The spare attempts are those beyond @need and @reserve; if there are
 * more than @need of them, @need stay with the caller for one complete retry.
 *
 * Return: number of attempts lent, including the attempt itself; 0 if @need is
 * 0, or if fewer than @need remain, since the attempt could not complete.
 */
uint32_t ql_allowance_lend(ql_allowance_t *allowance, uint32_t need,
			   uint32_t reserve);

/**
 * ql_allowance_return() - Add the unused attempts of an answered attempt.
 * @allowance: allowance of the caller
 * @lent: number of attempts that were lent for this attempt
 * @unused: number of attempts that the callee reports as unused; limited to
 *          @lent - 1, since the attempt itself was used
 */
void ql_allowance_return(ql_allowance_t *allowance, uint32_t lent,
			 uint32_t unused);

/**
 * ql_allowance_cancel() - Add all attempts lent for an attempt that was not
 * sent.
 * @allowance: allowance of the caller
 * @lent: number of attempts that were lent for this attempt
 */
void ql_allowance_cancel(ql_allowance_t *allowance, uint32_t lent);

/**
 * ql_allowance_compute_reserve() - Compute the attempts that a service needs
 * for the calls that it has not started yet.
 * @doc: the configuration
 * @service: index of the calling service
 * @started: bit mask of the calls already started; bit i stands for element i
 *           of the list of calls of the service in @doc
 * @callee: index of the service to call now
 *
 * Return: number of attempts that the calls not yet started need when none
 * fails, excluding calls to @callee.
 */
uint32_t ql_allowance_compute_reserve(const ql_document_t *doc,
				      uint16_t service, uint64_t started,
				      uint16_t callee);

G_END_DECLS

#endif
