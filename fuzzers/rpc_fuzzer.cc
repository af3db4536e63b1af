#include "control/exchange.h"
#include "quetzalloft/member.h"
#include "quetzalloft/registrar.h"

#include "claim.h"
#include "control.h"
#include "operator.h"
#include "replication.h"

#include <cstdlib>
#include <cstring>

namespace
{

constexpr uint64_t kNowMs = 100000;

struct Message {
	xdrproc_t proc;
	size_t size;
};

#define MESSAGE(type)                                \
	{                                            \
		(xdrproc_t) xdr_##type, sizeof(type) \
	}

/* Arguments, results and stored forms of all procedures. */
const Message kMessages[] = {
	MESSAGE(ql_rpc_lease_args),
	MESSAGE(ql_rpc_lease_res),
	MESSAGE(ql_rpc_patch_args),
	MESSAGE(ql_rpc_patch_res),
	MESSAGE(ql_rpc_document_args),
	MESSAGE(ql_rpc_document_res),
	MESSAGE(ql_rpc_report_args),
	MESSAGE(ql_rpc_report_res),
	MESSAGE(ql_rpc_cancel_args),
	MESSAGE(ql_rpc_cancel_res),
	MESSAGE(ql_rpc_offer_args),
	MESSAGE(ql_rpc_offer_res),
	MESSAGE(ql_rpc_exchange_args),
	MESSAGE(ql_rpc_exchange_res),
	MESSAGE(ql_rpc_drain_args),
	MESSAGE(ql_rpc_drain_res),
	MESSAGE(ql_rpc_claim_args),
	MESSAGE(ql_rpc_claim_res),
	MESSAGE(ql_rpc_stored_answer),
	MESSAGE(ql_rpc_replica_deliver_args),
	MESSAGE(ql_rpc_replica_deliver_res),
	MESSAGE(ql_rpc_replica_status_args),
	MESSAGE(ql_rpc_replica_status_res),
	MESSAGE(ql_rpc_replica_change_args),
	MESSAGE(ql_rpc_replica_change_res),
	MESSAGE(ql_rpc_quota_args),
	MESSAGE(ql_rpc_quota_res),
};

class Registrar
{
      public:
	Registrar()
	{
		ql_registrar_opts_t opts = {};

		strcpy(opts.cluster, "c");
		strcpy(opts.failure_domain, "d");
		opts.incarnation = 1;
		opts.started_ms = kNowMs;
		opts.lease_ms = 3000;
		ql_config_state_init(&config);
		ql_registrar_init(&registrar, &opts, &config);
	}

	~Registrar()
	{
		ql_registrar_finish(&registrar);
		ql_config_state_finish(&config);
	}

	ql_registrar_t registrar;

      private:
	ql_config_state_t config;
};

void handle_offer(const ql_rpc_offer_args *args)
{
	Registrar receiver;
	GError *error = nullptr;

	ql_registrar_handle_offer(&receiver.registrar, args, kNowMs, &error);
	g_clear_error(&error);
}

void handle_exchange(const ql_rpc_exchange_args *args)
{
	Registrar receiver;
	ql_rpc_exchange_res res = {};

	ql_exchange_handle_request(&receiver.registrar, args, &res, kNowMs);
	xdr_free((xdrproc_t)xdr_ql_rpc_exchange_res, &res);
}

const ql_member_ops_t kMemberOps = {
	[](void *, const char *, const ql_endpoint_info_t *) {},
	[](void *, const char *, const char *) {},
	[](void *, ql_document_t *) {},
	[](void *) {},
	[](void *, const ql_withdrawal_t *) {},
	[](void *) {},
	[](void *, const ql_key_proof_t *) {},
};

void handle_lease_reply(const ql_rpc_lease_res *res)
{
	GRand *random = g_rand_new_with_seed(1);
	ql_member_opts_t opts = {};
	GError *error = nullptr;
	ql_member_t member;

	strcpy(opts.cluster, "c");
	strcpy(opts.node, "n0");
	strcpy(opts.failure_domain, "d");
	opts.incarnation = 1;
	opts.n_registrars = 2;
	opts.renew_ms = 500;
	ql_member_init(&member, &opts, &kMemberOps, nullptr, random);
	ql_member_handle_lease_reply(&member, 0, res, kNowMs, &error);
	ql_member_take_proof(&member, res, kNowMs);
	g_clear_error(&error);
	ql_member_finish(&member);
	g_rand_free(random);
}

/* Handles the messages that end in a state machine without a socket. */
void handle(const Message &message, const void *decoded)
{
	if (message.proc == (xdrproc_t)xdr_ql_rpc_offer_args)
		handle_offer((const ql_rpc_offer_args *)decoded);
	else if (message.proc == (xdrproc_t)xdr_ql_rpc_exchange_args)
		handle_exchange((const ql_rpc_exchange_args *)decoded);
	else if (message.proc == (xdrproc_t)xdr_ql_rpc_lease_res)
		handle_lease_reply((const ql_rpc_lease_res *)decoded);
}

} // namespace

/* The first byte selects the message, whose encoding follows. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	XDR xdrs;

	if (!size)
		return 0;
	const Message &message =
		kMessages[data[0] % (sizeof(kMessages) / sizeof(*kMessages))];
	void *decoded = calloc(1, message.size);

	xdrmem_create(&xdrs, (char *)data + 1, (u_int)size - 1, XDR_DECODE);
	if (message.proc(&xdrs, decoded))
		handle(message, decoded);
	xdr_destroy(&xdrs);
	xdr_free(message.proc, decoded);
	free(decoded);
	return 0;
}
