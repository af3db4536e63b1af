#include "node/keyed_request.h"
#include "node/claim_codec.h"

#define REPLAYED_HEADER "Idempotency-Replayed"

bool ql_keyed_applies(const ql_document_t *doc)
{
	return doc->keepers.n_members;
}

static void make_claim(const ql_keyed_t *keyed, ql_claim_kind_t kind,
		       ql_claim_call_t *call)
{
	const char *scope =
		u_map_get_case(keyed->request->map_header, "Authorization");
	ql_claim_request_id_t id = {
		.method = keyed->request->http_verb,
		.target = keyed->request->http_url,
		.scope = scope ? scope : "",
		.body = keyed->request->binary_body,
		.body_bytes = keyed->request->binary_body_length,
	};
	uint64_t now_us = ql_clock_now_us();

	call->doc = keyed->doc;
	call->key = keyed->key;
	call->kind = kind;
	call->deadline_us = keyed->deadline_us;
	call->lease_ms = keyed->deadline_us > now_us
				 ? (uint32_t)((keyed->deadline_us - now_us) /
					      QL_US_PER_MS) +
					   1
				 : 1;
	ql_claim_fingerprint(call->fingerprint, &id);
}

static void fail(ql_failure_t *failure, ql_outcome_t outcome,
		 ql_reason_t reason)
{
	failure->outcome = outcome;
	failure->reason = reason;
}

static bool replay(const ql_claim_verdict_t *verdict, ql_http_answer_t *answer,
		   ql_failure_t *failure)
{
	ql_http_header_t header;

	if (!verdict->answer ||
	    ql_claim_unpack_answer(answer, verdict->answer)) {
		fail(failure, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER);
		return false;
	}
	header.name = g_strdup(REPLAYED_HEADER);
	header.value = g_strdup("true");
	g_array_append_val(answer->headers, header);
	return true;
}

/* Tells the keepers how the request under a won claim ended. */
static void end_claim(const ql_keyed_t *keyed, ql_claim_session_t *session,
		      bool answered, const ql_http_answer_t *answer,
		      const ql_failure_t *failure)
{
	ql_claim_note_t note = QL_CLAIM_NOTE_NONE;
	GBytes *bytes = NULL;

	if (answered && ql_answer_outcome(answer) != QL_OUTCOME_NOT_RUN) {
		bytes = ql_claim_pack_answer(answer);
		note = bytes ? QL_CLAIM_NOTE_ANSWERED : QL_CLAIM_NOTE_NOT_KEPT;
	} else if (answered || failure->outcome == QL_OUTCOME_NOT_RUN) {
		note = QL_CLAIM_NOTE_FORFEITED;
	}
	ql_claim_service_end(keyed->claims, session, note, bytes);
}

static bool run_claimed(const ql_keyed_t *keyed, ql_claim_session_t *session,
			ql_http_answer_t *answer, ql_failure_t *failure)
{
	bool answered = false;

	if (ql_claim_service_may_run(session))
		answered = keyed->run(keyed->data, answer, failure);
	else
		fail(failure, QL_OUTCOME_NOT_RUN, QL_REASON_DEADLINE);
	end_claim(keyed, session, answered, answer, failure);
	return answered;
}

bool ql_keyed_run(const ql_keyed_t *keyed, ql_http_answer_t *answer,
		  ql_failure_t *failure)
{
	ql_claim_verdict_t verdict = {0};
	ql_claim_session_t *session;
	ql_claim_call_t call;
	bool answered = false;

	make_claim(keyed, QL_CLAIM_RUN, &call);
	session = ql_claim_service_begin(keyed->claims, &call, &verdict);
	if (session)
		answered = run_claimed(keyed, session, answer, failure);
	else if (verdict.result == QL_CLAIM_ANSWERED)
		answered = replay(&verdict, answer, failure);
	else
		fail(failure, verdict.outcome, verdict.reason);
	if (verdict.answer)
		g_bytes_unref(verdict.answer);
	return answered;
}

void ql_keyed_seal(const ql_keyed_t *keyed, ql_failure_t *failure)
{
	ql_claim_verdict_t verdict = {0};
	ql_claim_call_t call;

	make_claim(keyed, QL_CLAIM_SEAL, &call);
	/* A seal is never won, so there is no session to end. */
	ql_claim_service_begin(keyed->claims, &call, &verdict);
	if (verdict.result == QL_CLAIM_SEALED)
		failure->outcome = QL_OUTCOME_NOT_RUN;
	else
		fail(failure, verdict.outcome, verdict.reason);
	if (verdict.answer)
		g_bytes_unref(verdict.answer);
}
