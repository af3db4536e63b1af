#include "policy/claim_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>

/*
 * State of one key: link is its element of the LRU list, voted_us the time of
 * the last vote, accepted_us the time when the value was first accepted.
 */
typedef struct {
	char key[QL_KEY_MAX];
	GList link;
	uint64_t voted_us;
	uint64_t accepted_us;
	ql_claim_reply_t state;
} key_record_t;

static void record_free(void *data)
{
	key_record_t *record = data;

	if (record->state.answer)
		g_bytes_unref(record->state.answer);
	g_free(record);
}

void ql_keeper_init(ql_keeper_t *keeper, const ql_keeper_opts_t *opts,
		    uint64_t now_us)
{
	memset(keeper, 0, sizeof(*keeper));
	keeper->opts = *opts;
	keeper->start_us = now_us;
	keeper->votes_from_us = now_us + opts->retention_us;
	keeper->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						record_free);
	g_queue_init(&keeper->lru);
}

void ql_keeper_set_retention(ql_keeper_t *keeper, uint64_t retention_us)
{
	keeper->opts.retention_us = retention_us;
	keeper->votes_from_us = keeper->start_us + retention_us;
}

void ql_keeper_finish(ql_keeper_t *keeper)
{
	g_hash_table_destroy(keeper->records);
}

static void drop_answer(ql_keeper_t *keeper, key_record_t *record)
{
	if (!record->state.answer)
		return;
	keeper->answers_bytes -= g_bytes_get_size(record->state.answer);
	g_bytes_unref(record->state.answer);
	record->state.answer = NULL;
}

/* Removes the keys whose last vote is older than the retention. */
static void expire_records(ql_keeper_t *keeper, uint64_t now_us)
{
	key_record_t *record;

	while (keeper->lru.head) {
		record = keeper->lru.head->data;
		if (now_us - record->voted_us < keeper->opts.retention_us)
			return;
		g_queue_unlink(&keeper->lru, &record->link);
		drop_answer(keeper, record);
		g_hash_table_remove(keeper->records, record->key);
	}
}

static key_record_t *find_or_add(ql_keeper_t *keeper, const char *key)
{
	key_record_t *record = g_hash_table_lookup(keeper->records, key);

	if (record)
		return record;
	if (g_hash_table_size(keeper->records) >= keeper->opts.keys_max)
		return NULL;
	record = g_new0(key_record_t, 1);
	g_strlcpy(record->key, key, sizeof(record->key));
	record->link.data = record;
	g_queue_push_tail_link(&keeper->lru, &record->link);
	g_hash_table_insert(keeper->records, record->key, record);
	return record;
}

static void mark_as_newest(ql_keeper_t *keeper, key_record_t *record,
			   uint64_t now_us)
{
	record->voted_us = now_us;
	g_queue_unlink(&keeper->lru, &record->link);
	g_queue_push_tail_link(&keeper->lru, &record->link);
}

/*
 * Resets a key to a higher generation. Its sender has seen that the claim of
 * the generation before is forfeited.
 */
static void enter_generation(ql_keeper_t *keeper, key_record_t *record,
			     uint32_t generation)
{
	if (generation <= record->state.generation)
		return;
	drop_answer(keeper, record);
	memset(&record->state, 0, sizeof(record->state));
	record->state.generation = generation;
}

static ql_claim_status_t prepare(key_record_t *record,
				 const ql_claim_request_t *request)
{
	if (ql_claim__compare_ballots(&request->ballot,
				      &record->state.promised) <= 0)
		return QL_CLAIM_REJECTED;
	record->state.promised = request->ballot;
	return QL_CLAIM_GRANTED;
}

/*
 * Round 0 accepts only the first value, and none once a later round was
 * prepared.
 */
static bool may_accept(const key_record_t *record,
		       const ql_claim_request_t *request)
{
	const ql_claim_reply_t *state = &record->state;

	if (request->ballot.round)
		return ql_claim__compare_ballots(&request->ballot,
						 &state->promised) >= 0;
	if (state->promised.round)
		return false;
	return state->value.kind == QL_CLAIM_NONE ||
	       ql_claim__same_value(&state->value, &request->value);
}

static ql_claim_status_t accept_value(ql_keeper_t *keeper, key_record_t *record,
				      const ql_claim_request_t *request,
				      uint64_t now_us)
{
	ql_claim_reply_t *state = &record->state;

	if (!may_accept(record, request))
		return QL_CLAIM_REJECTED;
	state->promised = request->ballot;
	state->accepted = request->ballot;
	if (ql_claim__same_value(&state->value, &request->value))
		return QL_CLAIM_GRANTED;
	drop_answer(keeper, record);
	state->value = request->value;
	state->note = QL_CLAIM_NOTE_NONE;
	record->accepted_us = now_us;
	return QL_CLAIM_GRANTED;
}

static bool has_answer_space(const ql_keeper_t *keeper, const GBytes *answer)
{
	size_t bytes = g_bytes_get_size((GBytes *)answer);

	return bytes <= QL_CLAIM_ANSWER_MAX_BYTES &&
	       keeper->answers_bytes + bytes <= keeper->opts.answers_max_bytes;
}

static ql_claim_status_t store_note(ql_keeper_t *keeper, key_record_t *record,
				    const ql_claim_request_t *request)
{
	ql_claim_reply_t *state = &record->state;

	if (request->generation != state->generation ||
	    !ql_claim__same_value(&state->value, &request->value) ||
	    state->note != QL_CLAIM_NOTE_NONE)
		return QL_CLAIM_REJECTED;
	state->note = request->note;
	if (request->note != QL_CLAIM_NOTE_ANSWERED || !request->answer)
		return QL_CLAIM_GRANTED;
	if (!has_answer_space(keeper, request->answer)) {
		state->note = QL_CLAIM_NOTE_ANSWER_NOT_STORED;
		return QL_CLAIM_FULL;
	}
	state->answer = g_bytes_ref(request->answer);
	keeper->answers_bytes += g_bytes_get_size(request->answer);
	return QL_CLAIM_GRANTED;
}

static ql_claim_status_t vote(ql_keeper_t *keeper, key_record_t *record,
			      const ql_claim_request_t *request,
			      uint64_t now_us)
{
	if (request->generation < record->state.generation)
		return QL_CLAIM_REJECTED;
	enter_generation(keeper, record, request->generation);
	switch (request->op) {
	case QL_CLAIM_OP_PREPARE:
		return prepare(record, request);
	case QL_CLAIM_OP_ACCEPT:
		return accept_value(keeper, record, request, now_us);
	default:
		return QL_CLAIM_REJECTED;
	}
}

/*
 * A note is not a vote. It may arrive long after the end of its claim, so it
 * neither adds a record nor moves a key to another generation.
 */
static void handle_note(ql_keeper_t *keeper, const ql_claim_request_t *request,
			ql_claim_reply_t *reply)
{
	key_record_t *record =
		g_hash_table_lookup(keeper->records, request->key);

	reply->status = QL_CLAIM_REJECTED;
	if (!record)
		return;
	reply->status = store_note(keeper, record, request);
	reply->note = record->state.note;
}

void ql_keeper_handle(ql_keeper_t *keeper, const ql_claim_request_t *request,
		      ql_claim_reply_t *reply, uint64_t now_us)
{
	ql_claim_status_t status;
	key_record_t *record;

	memset(reply, 0, sizeof(*reply));
	if (!keeper->opts.rules->may_vote(keeper, now_us)) {
		reply->status = QL_CLAIM_ABSTAINED;
		return;
	}
	expire_records(keeper, now_us);
	if (request->op == QL_CLAIM_OP_NOTE) {
		handle_note(keeper, request, reply);
		return;
	}
	record = find_or_add(keeper, request->key);
	if (!record) {
		keeper->refused_full++;
		reply->status = QL_CLAIM_FULL;
		return;
	}
	mark_as_newest(keeper, record, now_us);
	status = vote(keeper, record, request, now_us);
	*reply = record->state;
	reply->status = status;
	reply->age_ms = (now_us - record->accepted_us) / QL_US_PER_MS;
}
