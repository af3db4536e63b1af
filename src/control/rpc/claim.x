/*
 * Claims on idempotency keys. The node that has received a copy of a request
 * claims the key at the keepers of the key.
 */

%#include "control.h"

const QL_RPC_CLAIM_BATCH_MAX = 32;
const QL_RPC_CLAIM_ANSWER_MAX = 65536;
const QL_RPC_STORED_HEADERS_MAX = 64;

struct ql_rpc_claim_ballot {
	unsigned hyper round;
	unsigned hyper proposer;
};

struct ql_rpc_claim_value {
	unsigned hyper request;
	unsigned hyper attempt;
	unsigned hyper fingerprint[2];
	unsigned int kind;
	unsigned int lease_ms;
};

struct ql_rpc_claim_request {
	unsigned int op;
	unsigned int note;
	unsigned int generation;
	string key<QL_RPC_KEY_MAX>;
	ql_rpc_claim_ballot ballot;
	ql_rpc_claim_value value;
	opaque answer<QL_RPC_CLAIM_ANSWER_MAX>;
};

struct ql_rpc_claim_reply {
	unsigned int status;
	unsigned int note;
	unsigned int generation;
	ql_rpc_claim_ballot promised;
	ql_rpc_claim_ballot accepted;
	ql_rpc_claim_value value;
	unsigned hyper age_ms;
	bool has_answer;
	opaque answer<QL_RPC_CLAIM_ANSWER_MAX>;
};

struct ql_rpc_claim_args {
	ql_rpc_greeting greeting;
	ql_rpc_claim_request requests<QL_RPC_CLAIM_BATCH_MAX>;
};

struct ql_rpc_claim_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	ql_rpc_claim_reply replies<QL_RPC_CLAIM_BATCH_MAX>;
};

/* Encoding of the answers that keepers store. */
struct ql_rpc_stored_header {
	string name<QL_RPC_CLAIM_ANSWER_MAX>;
	string value<QL_RPC_CLAIM_ANSWER_MAX>;
};

struct ql_rpc_stored_answer {
	unsigned int status;
	ql_rpc_stored_header headers<QL_RPC_STORED_HEADERS_MAX>;
	opaque body<QL_RPC_CLAIM_ANSWER_MAX>;
};

program QL_CLAIM_PROGRAM {
	version QL_CLAIM_V1 {
		ql_rpc_claim_res QL_CLAIM(ql_rpc_claim_args) = 1;
	} = 1;
} = 0x20517a04;
