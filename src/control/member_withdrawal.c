#include "control/member_withdrawal.h"
#include "control/registrar_withdrawals.h"

#include <stdlib.h>
#include <string.h>

/* First time after which a registrar is asked again whether it has saved. */
#define SAVE_QUESTION_MIN_MS 10u

void ql_member_track_withdrawals(ql_member_t *member, const char *service,
				 const char *gate)
{
	ql_member_withdrawal_t *own = &member->withdrawal;

	g_strlcpy(own->service, service, sizeof(own->service));
	g_strlcpy(own->gate, gate, sizeof(own->gate));
	own->number = 1;
}

/* The registrars have to be told of the new one. */
static bool merge(ql_member_t *member, const ql_withdrawal_t *withdrawal)
{
	ql_member_withdrawal_t *own = &member->withdrawal;

	if (!ql_withdrawal_merge(&own->latest, withdrawal))
		return false;
	own->number++;
	own->agreed = false;
	own->saved = false;
	return true;
}

void ql_member_withdraw(ql_member_t *member, const ql_withdrawal_t *withdrawal)
{
	g_assert(member->withdrawal.number);
	merge(member, withdrawal);
}

bool ql_member_is_withdrawal_agreed(const ql_member_t *member)
{
	return member->withdrawal.agreed || !member->withdrawal.number;
}

bool ql_member_is_withdrawal_saved(const ql_member_t *member)
{
	return member->withdrawal.saved || !member->withdrawal.number;
}

static bool knows(const ql_member_withdrawal_t *own,
		  const ql_member_link_t *link)
{
	return link->withdrawal_number == own->number;
}

bool ql_member__lacks_withdrawal(const ql_member_t *member,
				 const ql_member_link_t *link, uint64_t now_ms)
{
	const ql_member_withdrawal_t *own = &member->withdrawal;

	if (ql_member_is_withdrawal_saved(member))
		return false;
	if (!knows(own, link))
		return true;
	return !link->withdrawal_saved && now_ms >= link->withdrawal_ask_ms;
}

bool ql_member__is_saving(const ql_member_t *member,
			  const ql_member_link_t *link)
{
	return !ql_member_is_withdrawal_saved(member) &&
	       knows(&member->withdrawal, link) && !link->withdrawal_saved;
}

/* The intervals double, as the disk may be slow or full. */
static void schedule_question(const ql_member_t *member, ql_member_link_t *link,
			      uint64_t now_ms)
{
	link->withdrawal_wait_ms =
		CLAMP(link->withdrawal_wait_ms * 2, SAVE_QUESTION_MIN_MS,
		      member->opts.renew_ms);
	link->withdrawal_ask_ms = now_ms + link->withdrawal_wait_ms;
}

void ql_member__fill_withdrawal(ql_member_t *member, int index,
				ql_rpc_lease_args *args)
{
	const ql_member_withdrawal_t *own = &member->withdrawal;
	ql_rpc_withdrawal *out;

	if (!own->number)
		return;
	out = calloc(1, sizeof(*out));
	g_assert(out);
	ql_withdrawal_fill_rpc(out, own->service, own->gate, &own->latest);
	args->withdrawals.withdrawals_val = out;
	args->withdrawals.withdrawals_len = 1;
	member->links[index].withdrawal_sent = own->number;
}

static bool is_own(const ql_member_withdrawal_t *own,
		   const ql_rpc_withdrawal *rpc)
{
	return !strcmp(rpc->service, own->service) &&
	       !strcmp(rpc->gate, own->gate);
}

void ql_member__apply_withdrawal(ql_member_t *member, int index,
				 const ql_rpc_lease_res *res, uint64_t now_ms)
{
	ql_member_link_t *link = &member->links[index];
	const ql_rpc_withdrawal *rpc;
	ql_withdrawal_t later;
	u_int i;

	if (link->withdrawal_number != link->withdrawal_sent)
		link->withdrawal_wait_ms = 0;
	link->withdrawal_number = link->withdrawal_sent;
	link->withdrawal_saved = res->withdrawals_saved;
	if (!link->withdrawal_saved)
		schedule_question(member, link, now_ms);
	for (i = 0; i < res->withdrawals.withdrawals_len; i++) {
		rpc = &res->withdrawals.withdrawals_val[i];
		if (!is_own(&member->withdrawal, rpc) ||
		    ql_withdrawal_read_rpc(&later, rpc) ||
		    !merge(member, &later))
			continue;
		/* This registrar knows it already. */
		link->withdrawal_number = member->withdrawal.number;
		if (member->ops->withdrawal_received)
			member->ops->withdrawal_received(member->data, &later);
	}
}

static void set_agreed(ql_member_t *member)
{
	member->withdrawal.agreed = true;
	if (member->ops->withdrawal_agreed)
		member->ops->withdrawal_agreed(member->data);
}

/*
 * Returns whether a registrar has fallen silent. One that has not answered in
 * this run of the node is waited for until its call fails, as it may know a
 * withdrawal of an earlier run.
 */
static bool is_silent(const ql_member_t *member, const ql_member_link_t *link,
		      uint64_t now_ms)
{
	return link->in_flight && link->incarnation &&
	       now_ms - link->called_ms >= member->opts.renew_ms;
}

/* Registrars that count for the agreement on a withdrawal. */
typedef struct {
	size_t n_usable;
	size_t n_knowing;
	size_t n_saved;
} holders_t;

static holders_t count_holders(const ql_member_t *member, uint64_t now_ms)
{
	const ql_member_link_t *link;
	holders_t holders = {0};
	size_t i;

	for (i = 0; i < member->opts.n_registrars; i++) {
		link = &member->links[i];
		if (link->retry_ms <= now_ms &&
		    !is_silent(member, link, now_ms))
			holders.n_usable++;
		if (link->failures || !knows(&member->withdrawal, link))
			continue;
		holders.n_knowing++;
		if (link->withdrawal_saved)
			holders.n_saved++;
	}
	return holders;
}

void ql_member__update_agreement(ql_member_t *member, uint64_t now_ms)
{
	ql_member_withdrawal_t *own = &member->withdrawal;
	holders_t holders;
	size_t n_needed;

	if (!own->number || own->saved)
		return;
	holders = count_holders(member, now_ms);
	n_needed = CLAMP(holders.n_usable, 1, QL_REGISTRARS_ACTIVE);
	if (!own->agreed && holders.n_knowing >= n_needed)
		set_agreed(member);
	own->saved = holders.n_saved >= n_needed;
}

void ql_member__assume_agreement(ql_member_t *member)
{
	if (member->withdrawal.number && !member->withdrawal.agreed)
		set_agreed(member);
}
