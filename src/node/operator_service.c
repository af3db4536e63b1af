#include "node/operator_service.h"
#include "control/greeting.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include "operator.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

static void handle_drain(void *data, const void *in, void *out)
{
	const ql_settings_t *settings = data;
	const ql_rpc_drain_args *args = in;
	ql_rpc_drain_res *res = out;

	res->status = ql_greeting_check(&args->greeting, settings->cluster,
					&res->detail);
	ql_log(res->status ? LOG_WARNING : LOG_NOTICE,
	       res->status ? "rpc_refused" : "drain_requested",
	       QL_STR("sender", args->greeting.node),
	       QL_STR("error", ql_error_name(res->status)));
	if (res->status)
		return;
	res->detail = strdup("");
	kill(getpid(), SIGTERM);
}

static const ql_rpc_procedure_t procedures[] = {
	{QL_DRAIN, (xdrproc_t)xdr_ql_rpc_drain_args,
	 (xdrproc_t)xdr_ql_rpc_drain_res, sizeof(ql_rpc_drain_args),
	 sizeof(ql_rpc_drain_res), handle_drain},
};

ql_rpc_program_t ql_operator_program(const ql_settings_t *settings)
{
	return (ql_rpc_program_t){
		.number = QL_OPERATOR_PROGRAM,
		.version = QL_OPERATOR_V1,
		.procedures = procedures,
		.n_procedures = G_N_ELEMENTS(procedures),
		.data = (void *)settings,
	};
}
