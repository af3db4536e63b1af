#include "quetzalloft/member.h"
#include "control/greeting.h"
#include "control/member_interest.h"
#include "control/member_view.h"
#include "control/member_withdrawal.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Largest deviation from the mean renewal interval, as a fraction of it. */
#define RENEWAL_JITTER 0.2
/*
 * The part of the mean renewal interval after which an answer is overdue. It is
 * short against the interval and long against a round trip.
 */
#define ANSWER_OVERDUE_DIVISOR 4u
/* Longest backoff of a registrar, unless the renewal interval is longer. */
#define REGISTRAR_BACKOFF_MAX_MS 2000u
/* Bounds the shift that computes the backoff. */
#define REGISTRAR_BACKOFF_DOUBLINGS_MAX 8u
/*
 * Renewals at a registrar between two comparisons of the digests, and as many
 * again for each SERVICES_PER_DIGEST_STEP services that the node follows.
 */
#define RENEWALS_PER_DIGEST 8u
#define SERVICES_PER_DIGEST_STEP 64u
/* A number of renewals at which the digests are compared in any case. */
#define RENEWALS_DIGEST_DUE (UINT32_MAX / 2)
/* Least time between two renewals because of a version seen on a call. */
#define VERSION_RENEWAL_INTERVAL_MS 200u
/*
 * How long a node that has started waits for a registrar before it requests the
 * configuration from other nodes.
 */
#define NEIGHBOUR_REQUEST_DELAY_MS 6000u
/*
 * Most registrars that are renewed at in turn. Each of them has to be renewed
 * at well within a lease, also while none proves what it knows. A minority of
 * the replicas has no proof while there is a leader, which is three of
 * QL_REGISTRARS_MAX at most, so one of these is in touch then.
 */
#define REGISTRARS_IN_TURN_MAX ((size_t)2 * QL_REGISTRARS_ACTIVE)
/* Consecutive failures after which a registrar may be replaced by a new one. */
#define REGISTRAR_REPLACE_FAILURES 4u

void ql_member_init(ql_member_t *member, const ql_member_opts_t *opts,
		    const ql_member_ops_t *ops, void *data, GRand *random)
{
	memset(member, 0, sizeof(*member));
	member->opts = *opts;
	if (!member->opts.rules)
		member->opts.rules = &ql_membership_rules;
	member->ops = ops;
	member->data = data;
	member->random = random;
	member->last_registrar = -1;
	member->offer_registrar = -1;
	member->last_answer_ms = opts->started_ms;
	member->interest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	member->demanded =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ql_member__view_init(member);
	ql_config_state_init(&member->config);
}

void ql_member_finish(ql_member_t *member)
{
	ql_config_state_finish(&member->config);
	ql_member__view_finish(member);
	g_hash_table_destroy(member->interest);
	g_hash_table_destroy(member->demanded);
}

/*
 * Returns the index of the registrar at a position in the order of preference,
 * which depends on the name of the node.
 */
static int preferred_registrar(const ql_member_t *member, size_t position)
{
	uint64_t start =
		XXH3_64bits(member->opts.node, strlen(member->opts.node));

	return (int)((start + position) % member->opts.n_registrars);
}

static uint32_t overdue_after_ms(const ql_member_t *member)
{
	return member->opts.renew_ms / ANSWER_OVERDUE_DIVISOR;
}

static bool is_overdue(const ql_member_t *member, const ql_member_link_t *link,
		       uint64_t now_ms)
{
	return link->in_flight &&
	       now_ms - link->called_ms >= overdue_after_ms(member);
}

/* Returns whether a registrar has not saved a withdrawal for some time. */
static bool saves_slowly(const ql_member_t *member,
			 const ql_member_link_t *link)
{
	return ql_member__is_saving(member, link) &&
	       link->withdrawal_wait_ms >= overdue_after_ms(member);
}

/*
 * Finds the registrars for the next renewal: those of the preferred ones
 * without a renewal in flight. A spare is called only in place of one that is
 * in backoff or overdue, as it may know less, and beside one that does not
 * prove what it knows, as it may be cut off from the replicas, or whose disk is
 * slow. Returns their number.
 */
static size_t find_free(const ql_member_t *member, uint64_t now_ms,
			int free_indexes[QL_REGISTRARS_MAX])
{
	size_t n_active = 0, n_in_turn = 0, n_free = 0;
	const ql_member_link_t *link;
	size_t position;
	int index;

	for (position = 0; position < member->opts.n_registrars; position++) {
		index = preferred_registrar(member, position);
		link = &member->links[index];
		if (link->retry_ms > now_ms || is_overdue(member, link, now_ms))
			continue;
		n_in_turn++;
		if (!link->unproven && !saves_slowly(member, link))
			n_active++;
		if (!link->in_flight)
			free_indexes[n_free++] = index;
		if (n_active >= QL_REGISTRARS_ACTIVE ||
		    n_in_turn >= REGISTRARS_IN_TURN_MAX)
			break;
	}
	return n_free;
}

/* Returns whether a registrar without a call in flight needs one at once. */
static bool is_urgent(const ql_member_t *member, const ql_member_link_t *link,
		      uint64_t now_ms)
{
	if (ql_member__lacks_withdrawal(member, link, now_ms))
		return true;
	return !link->failures && link->incarnation &&
	       (!link->interest_number || link->conflict);
}

/* Returns a registrar that has to be told that the node leaves, or -1. */
static int find_leave_due(const ql_member_t *member)
{
	size_t i;

	for (i = 0; i < member->opts.n_registrars; i++)
		if (member->links[i].leave_due && !member->links[i].in_flight)
			return (int)i;
	return -1;
}

/* Returns a registrar that needs a renewal at once, or -1. */
static int find_urgent(const ql_member_t *member, const int *free_indexes,
		       size_t n_free, uint64_t now_ms)
{
	int index = find_leave_due(member);
	size_t i;

	if (index >= 0)
		return index;
	for (i = 0; i < n_free; i++)
		if (is_urgent(member, &member->links[free_indexes[i]], now_ms))
			return free_indexes[i];
	return -1;
}

/* Returns the one behind the registrar chosen last, or the first one. */
static int next_in_turn(const ql_member_t *member, const int *free_indexes,
			size_t n_free)
{
	size_t i;

	for (i = 0; i + 1 < n_free; i++)
		if (free_indexes[i] == member->last_registrar)
			return free_indexes[i + 1];
	return free_indexes[0];
}

int ql_member_next_registrar(ql_member_t *member, uint64_t now_ms)
{
	int free_indexes[QL_REGISTRARS_MAX];
	size_t n_free = find_free(member, now_ms, free_indexes);
	int index = find_urgent(member, free_indexes, n_free, now_ms);

	if (index < 0 && !n_free)
		return -1;
	if (index < 0)
		index = next_in_turn(member, free_indexes, n_free);
	member->last_registrar = index;
	return index;
}

void ql_member_begin_renewal(ql_member_t *member, int index, uint64_t now_ms)
{
	ql_member_link_t *link = &member->links[index];

	g_assert(!link->in_flight);
	link->in_flight = true;
	link->called_ms = now_ms;
	link->leave_due = false;
	member->due_ms = now_ms + overdue_after_ms(member);
	/* Another registrar may have fallen silent. */
	ql_member__update_agreement(member, now_ms);
}

/*
 * Notes that a renewal is not in flight any more; returns false when the
 * registrar was replaced meanwhile.
 */
static bool end_renewal(ql_member_t *member, int index)
{
	ql_member_link_t *link = &member->links[index];
	bool replaced = link->replaced;

	link->in_flight = false;
	link->replaced = false;
	return !replaced;
}

void ql_member_leave(ql_member_t *member)
{
	size_t i;

	for (i = 0; i < member->opts.n_registrars; i++)
		member->links[i].leave_due = true;
}

static void fill_greeting(const ql_member_t *member, ql_rpc_greeting *greeting)
{
	greeting->cluster = strdup(member->opts.cluster);
	greeting->node = strdup(member->opts.node);
	greeting->failure_domain = strdup(member->opts.failure_domain);
	greeting->incarnation = member->opts.incarnation;
	greeting->protocol = QL_RPC_PROTOCOL_VERSION;
}

/*
 * Returns whether the digests have to be compared. The more services the node
 * follows, the more renewals are between two comparisons.
 */
static bool is_digest_due(const ql_member_t *member,
			  const ql_member_link_t *link)
{
	uint32_t factor = 1 + g_hash_table_size(member->interest) /
				      SERVICES_PER_DIGEST_STEP;

	return link->renewals >= RENEWALS_PER_DIGEST * factor;
}

/*
 * Returns the incarnation of the most preferred registrar whose last call did
 * not fail, or 0.
 */
static uint64_t preferred_incarnation(const ql_member_t *member)
{
	const ql_member_link_t *link;
	size_t position;

	for (position = 0; position < member->opts.n_registrars; position++) {
		link = &member->links[preferred_registrar(member, position)];
		if (link->incarnation && !link->failures)
			return link->incarnation;
	}
	return 0;
}

/*
 * Names the same registrar as the holder of the endpoints at each registrar at
 * which the node renews. A registrar at which the node renews no more then does
 * not mark the endpoints as gone when the lease there expires.
 */
static void set_holder(const ql_member_t *member, ql_rpc_lease_args *args)
{
	uint64_t holder = preferred_incarnation(member);
	u_int i;

	for (i = 0; i < args->endpoints.endpoints_len; i++)
		args->endpoints.endpoints_val[i].holder = holder;
}

void ql_member_fill_lease(ql_member_t *member, int index,
			  ql_rpc_lease_args *args)
{
	ql_member_link_t *link = &member->links[index];

	if (ql_member__update_interest(member, args->endpoints.endpoints_val,
				       args->endpoints.endpoints_len))
		ql_member__drop_unfollowed(member);
	fill_greeting(member, &args->greeting);
	set_holder(member, args);
	args->config_version = member->config.doc->version;
	args->config_digest = member->config.doc->digest;
	args->want_whole_document = member->want_whole_document;
	args->registrar_incarnation = link->incarnation;
	args->members_number = link->seen_change_number;
	args->epoch = member->epoch;
	args->sequence = ++member->sequence;
	ql_member__fill_withdrawal(member, index, args);
	if (link->interest_number == member->interest_number &&
	    !is_digest_due(member, link))
		return;
	ql_member__fill_interest(member, args);
	link->interest_number = member->interest_number;
	link->renewals = 0;
}

static void notify_config_change(ql_member_t *member, uint64_t version_before)
{
	if (member->config.doc->version != version_before)
		member->ops->config_changed(member->data, member->config.doc);
}

static int apply_config(ql_member_t *member, const ql_rpc_lease_res *res,
			GError **error)
{
	bool_t whole = res->whole_document;
	u_int document_len = res->document.document_len;
	char *document_val = res->document.document_val;
	u_int changes_len = res->changes.changes_len;
	ql_rpc_change *changes_val = res->changes.changes_val;
	ql_config_reply_t reply = {&whole, &document_len, &document_val,
				   &changes_len, &changes_val};
	uint64_t before = member->config.doc->version;
	int ret;

	ret = ql_config_reply_apply(&member->config, &reply,
				    res->config_version, error);
	member->want_whole_document = ret != 0;
	notify_config_change(member, before);
	return ret;
}

static void confirm_config(ql_member_t *member)
{
	if (member->config_confirmed)
		return;
	member->config_confirmed = true;
	if (member->ops->config_confirmed)
		member->ops->config_confirmed(member->data);
}

static void update_link(ql_member_t *member, int index,
			const ql_rpc_lease_res *res)
{
	ql_member_link_t *link = &member->links[index];

	if (res->want_interest ||
	    (link->incarnation &&
	     link->incarnation != res->registrar_incarnation))
		link->interest_number = 0;
	link->incarnation = res->registrar_incarnation;
	if (!res->want_interest)
		link->seen_change_number = res->members_number;
	link->unproven = member->opts.proof_max_ms &&
			 (!res->has_proof ||
			  res->proof_age_ms > member->opts.proof_max_ms);
	link->failures = 0;
	link->retry_ms = 0;
	link->renewals++;
}

static int find_registrar(const ql_member_t *member, const char *address)
{
	size_t i;

	for (i = 0; i < member->opts.n_registrars; i++)
		if (!strcmp(member->opts.registrars[i], address))
			return (int)i;
	return -1;
}

/* Returns whether a reply lists the registrar; false without a reply. */
static bool is_listed(const ql_rpc_lease_res *res, const char *address)
{
	u_int i;

	if (!res)
		return false;
	for (i = 0; i < res->registrars.registrars_len; i++)
		if (!strcmp(res->registrars.registrars_val[i].address, address))
			return true;
	return false;
}

/*
 * Returns the index for a new registrar: a free one, or that of a registrar
 * that has failed repeatedly and is not in the list of the reply; else -1.
 */
static int find_slot(const ql_member_t *member, const ql_rpc_lease_res *res)
{
	size_t i;

	if (member->opts.n_registrars < QL_REGISTRARS_MAX)
		return (int)member->opts.n_registrars;
	for (i = 0; i < member->opts.n_registrars; i++)
		if (member->links[i].failures >= REGISTRAR_REPLACE_FAILURES &&
		    !is_listed(res, member->opts.registrars[i]))
			return (int)i;
	return -1;
}

static void add_registrar(ql_member_t *member, const char *address,
			  const ql_rpc_lease_res *res)
{
	ql_member_link_t *link;
	bool in_flight;
	int slot;

	if (find_registrar(member, address) >= 0 ||
	    strlen(address) >= QL_ADDRESS_MAX)
		return;
	slot = find_slot(member, res);
	if (slot < 0)
		return;
	g_strlcpy(member->opts.registrars[slot], address, QL_ADDRESS_MAX);
	link = &member->links[slot];
	in_flight = link->in_flight;
	memset(link, 0, sizeof(*link));
	link->in_flight = in_flight;
	link->replaced = in_flight;
	member->opts.n_registrars =
		MAX(member->opts.n_registrars, (size_t)slot + 1);
}

/* Adds the registrars in the list of a reply. */
static void add_listed_registrars(ql_member_t *member,
				  const ql_rpc_lease_res *res)
{
	u_int i;

	for (i = 0; i < res->registrars.registrars_len; i++)
		add_registrar(member, res->registrars.registrars_val[i].address,
			      res);
}

void ql_member_add_registrar(ql_member_t *member, const char *address)
{
	add_registrar(member, address, NULL);
}

static uint64_t backoff_max_ms(const ql_member_t *member)
{
	if (member->opts.backoff_max_ms)
		return member->opts.backoff_max_ms;
	return MAX(REGISTRAR_BACKOFF_MAX_MS, member->opts.renew_ms);
}

static void back_off(ql_member_t *member, int index, uint64_t now_ms)
{
	ql_member_link_t *link = &member->links[index];
	uint64_t delay_ms =
		(uint64_t)member->opts.renew_ms
		<< MIN(link->failures, REGISTRAR_BACKOFF_DOUBLINGS_MAX);
	double factor = g_rand_double_range(member->random, 0.5, 1.0);

	link->failures++;
	/* The registrar may not have received the interest. */
	link->interest_number = 0;
	delay_ms = MIN(delay_ms, backoff_max_ms(member));
	link->retry_ms = now_ms + (uint64_t)((double)delay_ms * factor);
	ql_member__update_agreement(member, now_ms);
}

void ql_member_lease_failed(ql_member_t *member, int index, uint64_t now_ms)
{
	if (end_renewal(member, index))
		back_off(member, index, now_ms);
}

static void schedule_next_renewal(ql_member_t *member, uint64_t now_ms)
{
	double factor = g_rand_double_range(member->random, 1 - RENEWAL_JITTER,
					    1 + RENEWAL_JITTER);

	member->due_ms = now_ms + (uint64_t)(member->opts.renew_ms * factor);
}

int ql_member_handle_lease_reply(ql_member_t *member, int index,
				 const ql_rpc_lease_res *res, uint64_t now_ms,
				 GError **error)
{
	int ret;

	if (!end_renewal(member, index))
		return 0;
	if (res->status) {
		back_off(member, index, now_ms);
		return ql_error_set(error, (ql_error_code_t)res->status, "%s",
				    res->detail);
	}
	update_link(member, index, res);
	schedule_next_renewal(member, now_ms);
	member->last_answer_ms = now_ms;
	member->epoch = MAX(member->epoch, res->epoch);
	member->links[index].conflict = res->conflict;
	if (res->conflict)
		member->epoch++;
	if (res->want_document)
		member->offer_registrar = index;
	add_listed_registrars(member, res);
	ql_member__apply_withdrawal(member, index, res, now_ms);
	ql_member__update_agreement(member, now_ms);
	if (ql_member__update_view(member, res, now_ms))
		member->links[index].renewals = RENEWALS_DIGEST_DUE;
	ret = apply_config(member, res, error);
	if (!ret && res->ready)
		confirm_config(member);
	return ret;
}

void ql_member_take_proof(ql_member_t *member, const ql_rpc_lease_res *res,
			  uint64_t sent_ms)
{
	const ql_key_proof_t proof = {
		.version = res->config_version,
		.sent_ms = sent_ms,
		.age_ms = res->proof_age_ms,
	};

	/* A later version in force may not be a successor of that one. */
	if (res->status || !res->has_proof || !member->ops->config_proven ||
	    member->config.doc->version != res->config_version)
		return;
	member->ops->config_proven(member->data, &proof);
}

/*
 * Returns the time until the backoff of a registrar has ended, or the answer of
 * one is overdue; at most the mean renewal interval.
 */
static uint32_t free_after_ms(const ql_member_t *member, uint64_t now_ms)
{
	uint64_t earliest_ms = now_ms + member->opts.renew_ms;
	const ql_member_link_t *link;
	uint64_t at_ms;
	size_t i;

	for (i = 0; i < member->opts.n_registrars; i++) {
		link = &member->links[i];
		at_ms = link->in_flight
				? link->called_ms + overdue_after_ms(member)
				: link->retry_ms;
		if (at_ms > now_ms)
			earliest_ms = MIN(earliest_ms, at_ms);
	}
	return (uint32_t)(earliest_ms - now_ms);
}

/* Returns when a registrar is asked next whether it has saved a withdrawal. */
static uint64_t next_question_ms(const ql_member_t *member,
				 const int *free_indexes, size_t n_free)
{
	uint64_t earliest_ms = UINT64_MAX;
	const ql_member_link_t *link;
	size_t i;

	for (i = 0; i < n_free; i++) {
		link = &member->links[free_indexes[i]];
		if (ql_member__is_saving(member, link))
			earliest_ms = MIN(earliest_ms, link->withdrawal_ask_ms);
	}
	return earliest_ms;
}

uint32_t ql_member_renewal_delay_ms(const ql_member_t *member, uint64_t now_ms)
{
	int free_indexes[QL_REGISTRARS_MAX];
	size_t n_free = find_free(member, now_ms, free_indexes);
	uint64_t due_ms = member->due_ms;

	if (find_urgent(member, free_indexes, n_free, now_ms) >= 0)
		return 0;
	if (!n_free)
		return free_after_ms(member, now_ms);
	/* A registrar that falls silent is not waited for. */
	if (!ql_member_is_withdrawal_saved(member))
		due_ms = MIN(due_ms, now_ms + overdue_after_ms(member));
	due_ms = MIN(due_ms, next_question_ms(member, free_indexes, n_free));
	return due_ms > now_ms ? (uint32_t)(due_ms - now_ms) : 0;
}

int ql_member_fill_offer(ql_member_t *member, ql_rpc_offer_args *args)
{
	const ql_document_t *doc = member->config.doc;
	int index = member->offer_registrar;

	member->offer_registrar = -1;
	if (index < 0)
		return -1;
	fill_greeting(member, &args->greeting);
	args->config_version = doc->version;
	args->digest = doc->digest;
	args->document.document_val = ql_json_dump(doc->json);
	args->document.document_len =
		(u_int)strlen(args->document.document_val);
	return index;
}

int ql_member_handle_document_reply(ql_member_t *member,
				    const ql_rpc_document_res *res,
				    uint64_t now_ms G_GNUC_UNUSED,
				    GError **error)
{
	bool_t whole = res->whole_document;
	u_int document_len = res->document.document_len;
	char *document_val = res->document.document_val;
	u_int changes_len = res->changes.changes_len;
	ql_rpc_change *changes_val = res->changes.changes_val;
	ql_config_reply_t reply = {&whole, &document_len, &document_val,
				   &changes_len, &changes_val};
	uint64_t before = member->config.doc->version;
	int ret;

	if (res->status)
		return ql_error_set(error, (ql_error_code_t)res->status, "%s",
				    res->detail);
	ret = ql_config_reply_apply(&member->config, &reply,
				    res->config_version, error);
	notify_config_change(member, before);
	if (!ret && member->config.doc->version) {
		confirm_config(member);
		ql_member__assume_agreement(member);
	}
	return ret;
}

bool ql_member_needs_neighbour(const ql_member_t *member, uint64_t now_ms)
{
	return !member->config_confirmed &&
	       now_ms - member->opts.started_ms >= NEIGHBOUR_REQUEST_DELAY_MS;
}

/*
 * A newer version reaches this node, so the network may be whole again: the
 * next attempt does not wait for what was learned while it was cut off.
 */
static void end_backoffs(ql_member_t *member, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < member->opts.n_registrars; i++)
		member->links[i].retry_ms =
			MIN(member->links[i].retry_ms, now_ms);
}

bool ql_member_observe_version(ql_member_t *member, uint64_t version,
			       uint64_t now_ms)
{
	if (version <= member->config.doc->version)
		return false;
	member->seen_version = MAX(member->seen_version, version);
	if (now_ms - member->last_version_renewal_ms <
	    VERSION_RENEWAL_INTERVAL_MS)
		return false;
	member->last_version_renewal_ms = now_ms;
	end_backoffs(member, now_ms);
	return true;
}

uint64_t ql_member_stale_ms(const ql_member_t *member, uint64_t now_ms)
{
	return now_ms - MIN(member->last_answer_ms, now_ms);
}
