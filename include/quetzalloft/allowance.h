#ifndef QUETZALLOFT_ALLOWANCE_H
#define QUETZALLOFT_ALLOWANCE_H

/**
 * DOC: The allowance of attempts of one client request. It is conserved: what
 * a callee is lent leaves the lender, and only what the callee reports as
 * unused comes back. A lost answer counts as used.
 */

#include "quetzalloft/document.h"

G_BEGIN_DECLS

/**
 * struct ql_allowance - Attempts that one holder may still spend.
 * @remaining: attempts
 */
typedef struct ql_allowance {
	uint32_t remaining;
} ql_allowance_t;

void ql_allowance_init(ql_allowance_t *allowance, uint32_t attempts);

/**
 * ql_allowance_lend() - Take the part of one attempt out.
 * @allowance: the holder's allowance
 * @need: attempts that the callee uses when none fails, itself included
 * @reserve: attempts that other calls of the holder still need
 *
 * Return: attempts lent, the attempt itself included; 0 when fewer than
 * @need remain, since such an attempt could not finish.
 */
uint32_t ql_allowance_lend(ql_allowance_t *allowance, uint32_t need,
			   uint32_t reserve);

/**
 * ql_allowance_return() - Put back what an answered attempt did not use.
 * @allowance: the holder's allowance
 * @lent: what it was lent
 * @unused: what it reports; more than @lent less one is cut
 */
void ql_allowance_return(ql_allowance_t *allowance, uint32_t lent,
			 uint32_t unused);

/**
 * ql_allowance_cancel() - Take back an attempt of which nothing was sent.
 * @allowance: the holder's allowance
 * @lent: what it was lent; all of it comes back
 */
void ql_allowance_cancel(ql_allowance_t *allowance, uint32_t lent);

/**
 * ql_allowance_reserve() - What the other calls of a holder still need.
 * @doc: the configuration
 * @service: index of the holder's service
 * @begun: bits of its calls, in the order of the document, that were begun
 * @callee: index of the service that is called now
 *
 * Return: attempts that the calls not begun need when none fails, without
 * those of @callee.
 */
uint32_t ql_allowance_compute_reserve(const ql_document_t *doc,
				      uint16_t service, uint64_t begun,
				      uint16_t callee);

G_END_DECLS

#endif
