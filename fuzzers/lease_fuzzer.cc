#include "quetzalloft/registrar.h"

#include <cstring>

constexpr uint64_t kNowMs = 100000;

/* Decodes a request of a node to renew its lease, and handles it. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ql_registrar_opts_t opts = {};
	ql_rpc_lease_args args = {};
	ql_rpc_lease_res res = {};
	ql_config_state_t config;
	ql_registrar_t registrar;
	XDR xdrs;

	strcpy(opts.cluster, "c");
	strcpy(opts.failure_domain, "d");
	opts.incarnation = 1;
	opts.started_ms = kNowMs;
	opts.lease_ms = 3000;
	ql_config_state_init(&config);
	ql_registrar_init(&registrar, &opts, &config);
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	if (xdr_ql_rpc_lease_args(&xdrs, &args))
		ql_registrar_handle_lease(&registrar, &args, &res, kNowMs);
	xdr_destroy(&xdrs);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
	ql_registrar_finish(&registrar);
	ql_config_state_finish(&config);
	return 0;
}
