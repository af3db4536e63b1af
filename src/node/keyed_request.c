#include "node/keyed_request.h"
#include "node/claim_codec.h"

#define REPLAYED_HEADER_NAME "Idempotency-Replayed"

bool ql_keyed_request_has_keepers(const ql_document_t *doc)
{
	return doc->keepers.n_members;
}

static void init_claim_params(const ql_keyed_request_t *keyed,
			      ql_claim_kind_t kind, ql_claim_params_t *params)
{
	const char *scope =
		u_map_get_case(keyed->request->map_header, "Authorization");
	ql_claim_fingerprint_input_t id = {
		.method = keyed->request->http_verb,
		.target = keyed->request->http_url,
		.scope = scope ? scope : "",
		.body = keyed->request->binary_body,
		.body_bytes = keyed->request->binary_body_length,
	};
	uint64_t now_us = ql_clock_now_us();

	params->doc = keyed->doc;
	params->key = keyed->key;
	params->kind = kind;
	params->deadline_us = keyed->deadline_us;
	params->lease_ms = keyed->deadline_us > now_us
				   ? (uint32_t)((keyed->deadline_us - now_us) /
						QL_US_PER_MS) +
					     1
				   : 1;
	ql_claim_fingerprint(params->fingerprint, &id);
}

static void set_failure(ql_failure_t *failure, ql_outcome_t outcome,
			ql_reason_t reason)
{
	failure->outcome = outcome;
	failure->reason = reason;
}

static bool replay_stored_response(const ql_claim_verdict_t *verdict,
				   ql_http_response_t *response,
				   ql_failure_t *failure)
{
	ql_http_header_t header;

	if (!verdict->answer ||
	    ql_claim_unpack_answer(response, verdict->answer)) {
		set_failure(failure, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER);
		return false;
	}
	header.name = g_strdup(REPLAYED_HEADER_NAME);
	header.value = g_strdup("true");
	g_array_append_val(response->headers, header);
	return true;
}

/*
 * Ends a won claim. A stored response is replayed to later copies; a claim
 * whose request certainly did not run is forfeited, so that a later copy may
 * run.
 */
static void complete_claim(const ql_keyed_request_t *keyed,
			   ql_claim_session_t *session, bool answered,
			   const ql_http_response_t *response,
			   const ql_failure_t *failure)
{
	ql_claim_note_t note = QL_CLAIM_NOTE_NONE;
	GBytes *bytes = NULL;

	if (answered &&
	    ql_http_response_outcome(response) != QL_OUTCOME_NOT_RUN) {
		bytes = ql_claim_pack_answer(response);
		note = bytes ? QL_CLAIM_NOTE_ANSWERED
			     : QL_CLAIM_NOTE_ANSWER_NOT_STORED;
	} else if (answered || failure->outcome == QL_OUTCOME_NOT_RUN) {
		note = QL_CLAIM_NOTE_FORFEITED;
	}
	ql_claim_service_end(keyed->claims, session, note, bytes);
}

static bool run_under_claim(const ql_keyed_request_t *keyed,
			    ql_claim_session_t *session,
			    ql_http_response_t *response, ql_failure_t *failure)
{
	bool answered = false;

	if (ql_claim_service_may_run(session))
		answered = keyed->run(keyed->data, response, failure);
	else
		set_failure(failure, QL_OUTCOME_NOT_RUN, QL_REASON_DEADLINE);
	complete_claim(keyed, session, answered, response, failure);
	return answered;
}

bool ql_keyed_request_run(const ql_keyed_request_t *keyed,
			  ql_http_response_t *response, ql_failure_t *failure)
{
	ql_claim_verdict_t verdict = {0};
	ql_claim_session_t *session;
	ql_claim_params_t params;
	bool answered = false;

	init_claim_params(keyed, QL_CLAIM_RUN, &params);
	session = ql_claim_service_begin(keyed->claims, &params, &verdict);
	if (session)
		answered = run_under_claim(keyed, session, response, failure);
	else if (verdict.result == QL_CLAIM_ANSWERED)
		answered = replay_stored_response(&verdict, response, failure);
	else
		set_failure(failure, verdict.outcome, verdict.reason);
	if (verdict.answer)
		g_bytes_unref(verdict.answer);
	return answered;
}

void ql_keyed_request_seal(const ql_keyed_request_t *keyed,
			   ql_failure_t *failure)
{
	ql_claim_verdict_t verdict = {0};
	ql_claim_params_t params;

	init_claim_params(keyed, QL_CLAIM_SEAL, &params);
	/* A seal is never won, so there is no session to end. */
	ql_claim_service_begin(keyed->claims, &params, &verdict);
	if (verdict.result == QL_CLAIM_SEALED)
		failure->outcome = QL_OUTCOME_NOT_RUN;
	else
		set_failure(failure, verdict.outcome, verdict.reason);
	if (verdict.answer)
		g_bytes_unref(verdict.answer);
}
